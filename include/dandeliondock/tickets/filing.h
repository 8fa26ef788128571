#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/config/ticket.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/store/row_types.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>
#include <variant>

namespace dandeliondock {

/// \brief An accepted ticket.
struct FiledTicket
{
    RevisionNumber revision;
    bool alreadyAccepted = false; ///< the same content was accepted by an earlier filing

    bool operator==(const FiledTicket &) const = default;
};

/// \brief The row `head` and the row of the ticket's number were read.
struct FilingRowsRead
{
    VersionedHead head;
    std::optional<Revision> existingRevision;
};

/// \brief The rows could not be read.
struct FilingReadFailed
{
    absl::Status status;
};

/// \brief The state was loaded, or the attempt failed.
struct FilingStateLoaded
{
    absl::StatusOr<ConfigStatePtr> state;
};

/// \brief The transaction took effect.
struct FilingCommitted
{
};

/// \brief A condition of the transaction did not hold; nothing was written.
struct FilingConditionFailed
{
};

/// \brief The store refused the transaction; nothing was written.
struct FilingCommitRejected
{
    absl::Status status;
};

/// \brief The store's answer was lost; the transaction took effect, takes effect later, or never does.
struct FilingCommitUnknown
{
    absl::Status status;
};

/// \brief The wait has passed.
struct FilingWaitElapsed
{
};

using FilingEvent = std::variant<FilingRowsRead, FilingReadFailed, FilingStateLoaded, FilingCommitted,
                                 FilingConditionFailed, FilingCommitRejected, FilingCommitUnknown, FilingWaitElapsed>;

/// \brief Read the row `head` and the row of the ticket's number.
struct ReadFilingRows
{
    TicketNumber number;
};

/// \brief Load the state at a revision.
struct LoadFilingState
{
    RevisionNumber revision;
};

/// \brief Commit `head`, the ticket's row and the revision's row on condition that `head` has \c headVersion and the
/// ticket's row is absent.
struct CommitFiling
{
    Revision revision;
    HeadRow head;
    RowVersion headVersion;
};

/// \brief Wait a random time between 0 and \c atMost.
struct WaitFiling
{
    Milliseconds atMost;
};

/// \brief The filing is over.
struct CompleteFiling
{
    absl::StatusOr<FiledTicket> answer;
};

using FilingAction = std::variant<ReadFilingRows, LoadFilingState, CommitFiling, WaitFiling, CompleteFiling>;

/// \brief Decisions of one filing of a ticket.
///
/// A lost answer of the store is settled only by reading: the ticket's row tells that the write took effect; a changed
/// `head` and, in a later read, still no row of the ticket tell that it never will. While `head` is unchanged a delayed
/// write can still take effect, so that the answer after the last re-read is OutcomeUnknown.
///
/// \remark One thread at a time.
class TicketFiling
{
public:
    explicit TicketFiling(Ticket ticket);

    /// \brief The first action. Call once.
    [[nodiscard]] FilingAction start();

    /// \brief The next action.
    /// \pre start() was called, \c event is an outcome of the last action, and that was not CompleteFiling.
    [[nodiscard]] FilingAction handleEvent(const FilingEvent &event, WallTime now);

private:
    enum class Step { Reading, Settling };

    [[nodiscard]] FilingAction next(const FilingRowsRead &event, WallTime now);
    [[nodiscard]] FilingAction next(const FilingReadFailed &event, WallTime now);
    [[nodiscard]] FilingAction next(const FilingStateLoaded &event, WallTime now);
    [[nodiscard]] FilingAction next(const FilingCommitted &event, WallTime now);
    [[nodiscard]] FilingAction next(const FilingConditionFailed &event, WallTime now);
    [[nodiscard]] FilingAction next(const FilingCommitRejected &event, WallTime now);
    [[nodiscard]] FilingAction next(const FilingCommitUnknown &event, WallTime now);
    [[nodiscard]] FilingAction next(const FilingWaitElapsed &event, WallTime now);

    [[nodiscard]] FilingAction settle(const FilingRowsRead &event);
    [[nodiscard]] FilingAction planAgain();
    [[nodiscard]] FilingAction readAgain();
    [[nodiscard]] FilingAction notAccepted(const absl::Status &status) const;
    [[nodiscard]] FilingAction outcomeUnknown() const;

    Ticket m_ticket;
    Step m_step = Step::Reading;
    VersionedHead m_head;
    RevisionNumber m_committing;
    int m_plans = 0;
    int m_reads = 0;
    bool m_headMoved = false;
};

} // namespace dandeliondock
