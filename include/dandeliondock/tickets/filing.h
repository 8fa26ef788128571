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

/// \brief Result of the filing of an accepted ticket.
struct FiledTicket
{
    RevisionNumber revision;
    bool alreadyAccepted = false; ///< the same content was accepted by an earlier filing

    bool operator==(const FiledTicket &) const = default;
};

/// \brief Event: the row `head` and the row of the ticket's number were read.
struct FilingRowsRead
{
    VersionedHead head;
    std::optional<Revision> existingRevision; ///< the revision accepted under the ticket's number, if any
};

/// \brief Event: the rows could not be read.
struct FilingReadFailed
{
    absl::Status status;
};

/// \brief Event: the configuration was loaded, or loading it failed.
struct FilingStateLoaded
{
    absl::StatusOr<ConfigStatePtr> state;
};

/// \brief Event: the transaction was committed.
struct FilingCommitted
{
};

/// \brief Event: a condition of the transaction did not hold; nothing was written.
struct FilingConditionFailed
{
};

/// \brief Event: the store rejected the transaction; nothing was written.
struct FilingCommitRejected
{
    absl::Status status;
};

/// \brief Event: the store's response was lost. The transaction has taken effect, takes effect later, or never does.
struct FilingCommitUnknown
{
    absl::Status status;
};

/// \brief Event: the retry delay has elapsed.
struct FilingWaitElapsed
{
};

using FilingEvent = std::variant<FilingRowsRead, FilingReadFailed, FilingStateLoaded, FilingCommitted,
                                 FilingConditionFailed, FilingCommitRejected, FilingCommitUnknown, FilingWaitElapsed>;

/// \brief Action: read the row `head` and the row of the ticket's number.
struct ReadFilingRows
{
    TicketNumber number;
};

/// \brief Action: load the configuration at a revision.
struct LoadFilingState
{
    RevisionNumber revision;
};

/// \brief Action: commit `head`, the ticket's row and the revision's row on the conditions that `head` has
/// \c headVersion and that the ticket's row is absent.
struct CommitFiling
{
    Revision revision;
    HeadRow head;
    RowVersion headVersion;
};

/// \brief Action: wait for a random time between 0 and \c atMost.
struct WaitFiling
{
    Milliseconds atMost;
};

/// \brief Action: end the filing with a result.
struct CompleteFiling
{
    absl::StatusOr<FiledTicket> result;
};

using FilingAction = std::variant<ReadFilingRows, LoadFilingState, CommitFiling, WaitFiling, CompleteFiling>;

/// \brief State machine for the filing of one ticket: read, commit, resolve an unknown commit. Performs no I/O; the
/// caller executes each action and reports the outcome as an event.
///
/// After a lost response to a commit, only reads decide the outcome. If the ticket's row exists, the commit took
/// effect. If `head` has changed and a later read still finds no row of the ticket, the commit can no longer take
/// effect. While `head` is unchanged, a delayed commit can still take effect, so the result after the last read is
/// OutcomeUnknown.
///
/// \remark Not thread-safe; used by one thread at a time.
class TicketFiling
{
public:
    explicit TicketFiling(Ticket ticket);

    /// \brief Returns the first action. Must be called once.
    [[nodiscard]] FilingAction start();

    /// \brief Processes the outcome of the last action and returns the next action.
    /// \pre start() was called, \c event is a possible outcome of the last action, and that was not CompleteFiling.
    [[nodiscard]] FilingAction handleEvent(const FilingEvent &event, WallTime now);

private:
    enum class Phase { Accepting, ResolvingCommit };

    [[nodiscard]] FilingAction handle(const FilingRowsRead &event, WallTime now);
    [[nodiscard]] FilingAction handle(const FilingReadFailed &event, WallTime now);
    [[nodiscard]] FilingAction handle(const FilingStateLoaded &event, WallTime now);
    [[nodiscard]] FilingAction handle(const FilingCommitted &event, WallTime now);
    [[nodiscard]] FilingAction handle(const FilingConditionFailed &event, WallTime now);
    [[nodiscard]] FilingAction handle(const FilingCommitRejected &event, WallTime now);
    [[nodiscard]] FilingAction handle(const FilingCommitUnknown &event, WallTime now);
    [[nodiscard]] FilingAction handle(const FilingWaitElapsed &event, WallTime now);

    [[nodiscard]] FilingAction resolveCommit(const FilingRowsRead &event);
    [[nodiscard]] FilingAction retryAfterConflict();
    [[nodiscard]] FilingAction retryRead();
    [[nodiscard]] FilingAction completeNotAccepted(const absl::Status &status) const;
    [[nodiscard]] FilingAction completeOutcomeUnknown() const;

    Ticket m_ticket;
    Phase m_phase = Phase::Accepting;
    VersionedHead m_head;             ///< as read for the last acceptance decision
    RevisionNumber m_pendingRevision; ///< of the last commit
    int m_conflicts = 0;
    int m_readAttempts = 0;
    bool m_headChanged = false; ///< since the commit whose response was lost
};

} // namespace dandeliondock
