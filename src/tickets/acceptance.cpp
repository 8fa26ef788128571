#include <dandeliondock/tickets/acceptance.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

namespace {

absl::Status checkSuperseded(const ConfigState &state, const Ticket &ticket)
{
    for (const ResourceKey &key : touchedKeys(ticket)) {
        const TicketNumber last = state.lastTicket(key);
        if (last > ticket.number) {
            return makeError(ErrorKind::TicketSuperseded,
                             absl::StrCat(describe(key), " was already set by ticket ", last.value()));
        }
    }
    return absl::OkStatus();
}

absl::Status checkForm(const Ticket &ticket)
{
    if (ticket.number == TicketNumber{})
        return makeError(ErrorKind::InvalidTicket, "number must be greater than 0");
    if (ticket.author.value().empty())
        return makeError(ErrorKind::InvalidTicket, "author must be given");
    if (ticket.resources.empty() && ticket.removals.empty())
        return makeError(ErrorKind::InvalidTicket, "the ticket touches no resource");
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<AcceptancePlan> planAcceptance(const AcceptanceView &view, const Ticket &ticket, WallTime now)
{
    if (absl::Status status = checkForm(ticket); !status.ok())
        return status;
    if (view.sameNumber) {
        if (view.sameNumber->ticket == ticket)
            return AcceptancePlan{*view.sameNumber, true};
        return makeError(ErrorKind::TicketNumberUsed,
                         absl::StrCat("ticket ", ticket.number.value(), " was accepted with other content in revision ",
                                      view.sameNumber->number.value()));
    }
    if (absl::Status status = checkSuperseded(*view.state, ticket); !status.ok())
        return status;
    const Revision revision{RevisionNumber(view.headRevision.value() + 1), ticket, now};
    if (const absl::StatusOr<ConfigState> next = view.state->apply(revision); !next.ok())
        return next.status();
    return AcceptancePlan{revision, false};
}

} // namespace dandeliondock
