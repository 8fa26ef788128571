#include <dandeliondock/tickets/filing.h>

#include <dandeliondock/core/error.h>
#include <dandeliondock/tickets/acceptance.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int maxPlans = 8;
constexpr int maxReads = 4;
constexpr int maxSettlingReads = 8;
constexpr Milliseconds firstWait{50};
constexpr Milliseconds longestWait{1'000};

Milliseconds waitAfter(int tries)
{
    return std::min(longestWait, firstWait * (1 << std::min(tries, 6)));
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
    return std::visit([this, now](const auto &item) { return next(item, now); }, event);
}

FilingAction TicketFiling::next(const FilingRowsRead &event, WallTime now)
{
    if (m_step == Step::Settling)
        return settle(event);
    m_reads = 0;
    m_head = event.head;
    if (!event.existingRevision)
        return LoadFilingState{m_head.head.revision};
    const absl::StatusOr<AcceptanceDecision> plan =
            decideAcceptance({{}, nullptr, event.existingRevision}, m_ticket, now);
    if (!plan.ok())
        return CompleteFiling{plan.status()};
    return CompleteFiling{FiledTicket{plan->revision.number, true}};
}

FilingAction TicketFiling::next(const FilingReadFailed &event, WallTime /*now*/)
{
    ++m_reads;
    const bool retry = errorKind(event.status) == ErrorKind::StoreUnavailable;
    if (m_step == Step::Settling)
        return retry && m_reads < maxSettlingReads ? readAgain() : outcomeUnknown();
    return retry && m_reads < maxReads ? readAgain() : notAccepted(event.status);
}

FilingAction TicketFiling::next(const FilingStateLoaded &event, WallTime now)
{
    if (!event.state.ok() && errorKind(event.state.status()) != ErrorKind::HeadContended)
        return notAccepted(event.state.status());
    if (!event.state.ok() || (*event.state)->revision() != m_head.head.revision)
        return planAgain();
    const absl::StatusOr<AcceptanceDecision> plan =
            decideAcceptance({m_head.head.revision, *event.state, std::nullopt}, m_ticket, now);
    if (!plan.ok())
        return CompleteFiling{plan.status()};
    m_committing = plan->revision.number;
    HeadRow head = m_head.head;
    head.revision = plan->revision.number;
    head.lastTicket = m_ticket.number;
    return CommitFiling{plan->revision, head, m_head.version};
}

FilingAction TicketFiling::next(const FilingCommitted & /*event*/, WallTime /*now*/)
{
    return CompleteFiling{FiledTicket{m_committing, false}};
}

FilingAction TicketFiling::next(const FilingConditionFailed & /*event*/, WallTime /*now*/)
{
    return planAgain();
}

FilingAction TicketFiling::next(const FilingCommitRejected &event, WallTime /*now*/)
{
    return notAccepted(event.status);
}

FilingAction TicketFiling::next(const FilingCommitUnknown & /*event*/, WallTime /*now*/)
{
    m_step = Step::Settling;
    m_reads = 0;
    m_headMoved = false;
    return ReadFilingRows{m_ticket.number};
}

FilingAction TicketFiling::next(const FilingWaitElapsed & /*event*/, WallTime /*now*/)
{
    return ReadFilingRows{m_ticket.number};
}

FilingAction TicketFiling::settle(const FilingRowsRead &event)
{
    if (event.existingRevision && event.existingRevision->ticket == m_ticket)
        return CompleteFiling{FiledTicket{event.existingRevision->number, false}};
    if (event.existingRevision)
        return CompleteFiling{numberUsedError(*event.existingRevision)};
    // The two rows need not be read at one moment, so that only a read begun after `head` was seen to have moved proves
    // the absence of the ticket's row.
    if (m_headMoved) {
        m_step = Step::Reading;
        return planAgain();
    }
    m_headMoved = event.head.version != m_head.version;
    ++m_reads;
    if (m_headMoved)
        return ReadFilingRows{m_ticket.number};
    return m_reads < maxSettlingReads ? readAgain() : outcomeUnknown();
}

FilingAction TicketFiling::planAgain()
{
    ++m_plans;
    m_reads = 0;
    if (m_plans < maxPlans)
        return WaitFiling{waitAfter(m_plans)};
    return CompleteFiling{makeError(ErrorKind::HeadContended,
                                    absl::StrCat("ticket ", m_ticket.number.value(), " was not accepted: in ", maxPlans,
                                                 " tries another ticket was accepted first, ticket ",
                                                 m_head.head.lastTicket.value(), " among them"))};
}

FilingAction TicketFiling::readAgain()
{
    return WaitFiling{waitAfter(m_reads)};
}

FilingAction TicketFiling::notAccepted(const absl::Status &status) const
{
    const ErrorKind kind = errorKind(status) == ErrorKind::NotFound ? ErrorKind::Internal : errorKind(status);
    return CompleteFiling{makeError(kind, absl::StrCat("ticket ", m_ticket.number.value(),
                                                       " was not accepted by this filing: ", errorDetail(status)))};
}

FilingAction TicketFiling::outcomeUnknown() const
{
    return CompleteFiling{makeError(ErrorKind::OutcomeUnknown,
                                    absl::StrCat("the outcome of ticket ", m_ticket.number.value(),
                                                 " is unknown: the store's answer was lost; ask with show ",
                                                 m_ticket.number.value()))};
}

} // namespace dandeliondock
