#include <dandeliondock/tickets/acceptance.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <set>

namespace dandeliondock {

namespace {

absl::Status checkSuperseded(const ConfigState &state, const Ticket &ticket)
{
    for (const ResourceKey &key : touchedKeys(ticket)) {
        const TicketNumber last = state.lastTicket(key);
        if (last > ticket.number) {
            return makeError(ErrorKind::TicketSuperseded,
                             absl::StrCat(describe(key), " is superseded by ticket ", last.value()));
        }
    }
    return absl::OkStatus();
}

absl::Status checkKeys(const Ticket &ticket)
{
    std::set<ResourceKey> seen;
    for (const ResourceKey &key : touchedKeys(ticket)) {
        if (!seen.insert(key).second)
            return makeError(ErrorKind::InvalidTicket, absl::StrCat(describe(key), " stands twice in the ticket"));
    }
    return absl::OkStatus();
}

} // namespace

absl::Status validateForm(const Ticket &ticket)
{
    if (ticket.number == TicketNumber{})
        return makeError(ErrorKind::InvalidTicket, "number must be greater than 0");
    if (ticket.author.value().empty())
        return makeError(ErrorKind::InvalidTicket, "author must be given");
    if (ticket.resources.empty() && ticket.removals.empty())
        return makeError(ErrorKind::InvalidTicket, "the ticket touches no resource");
    for (const Resource &resource : ticket.resources) {
        if (absl::Status status = validateResource(resource); !status.ok())
            return status;
    }
    return checkKeys(ticket);
}

absl::Status numberUsedError(const Revision &accepted)
{
    return makeError(ErrorKind::TicketNumberUsed,
                     absl::StrCat("ticket number ", accepted.ticket.number.value(),
                                  " is used: ", accepted.ticket.author.value(),
                                  " filed it with other content, accepted in revision ", accepted.number.value()));
}

absl::StatusOr<AcceptancePlan> planAcceptance(const AcceptanceView &view, const Ticket &ticket, WallTime now)
{
    if (absl::Status status = validateForm(ticket); !status.ok())
        return status;
    if (view.sameNumber) {
        if (view.sameNumber->ticket == ticket)
            return AcceptancePlan{*view.sameNumber, true};
        return numberUsedError(*view.sameNumber);
    }
    if (absl::Status status = checkSuperseded(*view.state, ticket); !status.ok())
        return status;
    const Revision revision{RevisionNumber(view.headRevision.value() + 1), ticket, now};
    if (const absl::StatusOr<ConfigState> next = view.state->apply(revision); !next.ok())
        return next.status();
    return AcceptancePlan{revision, false};
}

} // namespace dandeliondock
