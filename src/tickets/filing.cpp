#include <dandeliondock/tickets/filing.h>

#include <dandeliondock/core/error.h>
#include <dandeliondock/tickets/acceptance.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int maxConflicts = 8;
constexpr int maxReadAttempts = 4;
constexpr int maxResolveReadAttempts = 8;
constexpr Milliseconds baseRetryDelay{50};
constexpr Milliseconds maxRetryDelay{1'000};

Milliseconds retryDelayBound(int attempts)
{
    return std::min(maxRetryDelay, baseRetryDelay * (1 << std::min(attempts, 6)));
}

} // namespace

TicketFiling::TicketFiling(Ticket ticket) : m_ticket(std::move(ticket)) {}

FilingAction TicketFiling::start()
{
    if (absl::Status status = validateTicket(m_ticket); !status.ok())
        return CompleteFiling{status};
    return ReadFilingRows{m_ticket.number};
}

FilingAction TicketFiling::handleEvent(const FilingEvent &event, WallTime now)
{
    return std::visit([this, now](const auto &outcome) { return handle(outcome, now); }, event);
}

FilingAction TicketFiling::handle(const FilingRowsRead &event, WallTime now)
{
    if (m_phase == Phase::ResolvingCommit)
        return resolveCommit(event);
    m_readAttempts = 0;
    m_head = event.head;
    if (!event.existingRevision)
        return LoadFilingState{m_head.head.revision};
    const absl::StatusOr<AcceptanceDecision> decision =
            decideAcceptance({{}, nullptr, event.existingRevision}, m_ticket, now);
    if (!decision.ok())
        return CompleteFiling{decision.status()};
    return CompleteFiling{FiledTicket{decision->revision.number, true}};
}

FilingAction TicketFiling::handle(const FilingReadFailed &event, WallTime /*now*/)
{
    ++m_readAttempts;
    const bool isRetryable = errorKind(event.status) == ErrorKind::StoreUnavailable;
    if (m_phase == Phase::ResolvingCommit)
        return isRetryable && m_readAttempts < maxResolveReadAttempts ? retryRead() : completeOutcomeUnknown();
    return isRetryable && m_readAttempts < maxReadAttempts ? retryRead() : completeNotAccepted(event.status);
}

FilingAction TicketFiling::handle(const FilingStateLoaded &event, WallTime now)
{
    if (!event.state.ok() && errorKind(event.state.status()) != ErrorKind::HeadContended)
        return completeNotAccepted(event.state.status());
    if (!event.state.ok() || (*event.state)->revision() != m_head.head.revision)
        return retryAfterConflict();
    const absl::StatusOr<AcceptanceDecision> decision =
            decideAcceptance({m_head.head.revision, *event.state, std::nullopt}, m_ticket, now);
    if (!decision.ok())
        return CompleteFiling{decision.status()};
    m_pendingRevision = decision->revision.number;
    HeadRow head = m_head.head;
    head.revision = decision->revision.number;
    head.lastTicket = m_ticket.number;
    return CommitFiling{decision->revision, head, m_head.version};
}

FilingAction TicketFiling::handle(const FilingCommitted & /*event*/, WallTime /*now*/)
{
    return CompleteFiling{FiledTicket{m_pendingRevision, false}};
}

FilingAction TicketFiling::handle(const FilingConditionFailed & /*event*/, WallTime /*now*/)
{
    return retryAfterConflict();
}

FilingAction TicketFiling::handle(const FilingCommitRejected &event, WallTime /*now*/)
{
    return completeNotAccepted(event.status);
}

FilingAction TicketFiling::handle(const FilingCommitUnknown & /*event*/, WallTime /*now*/)
{
    m_phase = Phase::ResolvingCommit;
    m_readAttempts = 0;
    m_headChanged = false;
    return ReadFilingRows{m_ticket.number};
}

FilingAction TicketFiling::handle(const FilingWaitElapsed & /*event*/, WallTime /*now*/)
{
    return ReadFilingRows{m_ticket.number};
}

FilingAction TicketFiling::resolveCommit(const FilingRowsRead &event)
{
    if (event.existingRevision && event.existingRevision->ticket == m_ticket)
        return CompleteFiling{FiledTicket{event.existingRevision->number, false}};
    if (event.existingRevision)
        return CompleteFiling{numberUsedError(*event.existingRevision)};
    // The store may read the two rows at different moments, so only a read that begins after a change of `head` was
    // seen proves that the ticket's row is absent.
    if (m_headChanged) {
        m_phase = Phase::Accepting;
        return retryAfterConflict();
    }
    m_headChanged = event.head.version != m_head.version;
    ++m_readAttempts;
    if (m_headChanged)
        return ReadFilingRows{m_ticket.number};
    return m_readAttempts < maxResolveReadAttempts ? retryRead() : completeOutcomeUnknown();
}

FilingAction TicketFiling::retryAfterConflict()
{
    ++m_conflicts;
    m_readAttempts = 0;
    if (m_conflicts < maxConflicts)
        return WaitFiling{retryDelayBound(m_conflicts)};
    return CompleteFiling{makeError(ErrorKind::HeadContended,
                                    absl::StrCat("ticket ", m_ticket.number.value(), " was not accepted: in ",
                                                 maxConflicts, " tries another ticket was accepted first, ticket ",
                                                 m_head.head.lastTicket.value(), " among them"))};
}

FilingAction TicketFiling::retryRead()
{
    return WaitFiling{retryDelayBound(m_readAttempts)};
}

FilingAction TicketFiling::completeNotAccepted(const absl::Status &status) const
{
    const ErrorKind kind = errorKind(status) == ErrorKind::NotFound ? ErrorKind::Internal : errorKind(status);
    return CompleteFiling{makeError(kind, absl::StrCat("ticket ", m_ticket.number.value(),
                                                       " was not accepted by this filing: ", errorDetail(status)))};
}

FilingAction TicketFiling::completeOutcomeUnknown() const
{
    return CompleteFiling{makeError(ErrorKind::OutcomeUnknown,
                                    absl::StrCat("the outcome of ticket ", m_ticket.number.value(),
                                                 " is unknown: the store's answer was lost; ask with show ",
                                                 m_ticket.number.value()))};
}

} // namespace dandeliondock
