#include <dandeliondock/tickets/acceptance.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <set>

namespace dandeliondock {

namespace {

absl::Status checkNotSuperseded(const ConfigState &state, const Ticket &ticket)
{
    for (const ResourceKey &key : affectedKeys(ticket)) {
        const TicketNumber lastTicket = state.lastTicket(key);
        if (lastTicket > ticket.number) {
            return makeError(ErrorKind::TicketSuperseded,
                             absl::StrCat(describe(key), " is superseded by ticket ", lastTicket.value()));
        }
    }
    return absl::OkStatus();
}

absl::Status checkUniqueKeys(const Ticket &ticket)
{
    std::set<ResourceKey> seen;
    for (const ResourceKey &key : affectedKeys(ticket)) {
        if (!seen.insert(key).second)
            return makeError(ErrorKind::InvalidTicket, absl::StrCat(describe(key), " stands twice in the ticket"));
    }
    return absl::OkStatus();
}

} // namespace

absl::Status validateTicket(const Ticket &ticket)
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
    return checkUniqueKeys(ticket);
}

absl::Status numberUsedError(const Revision &accepted)
{
    return makeError(ErrorKind::TicketNumberUsed,
                     absl::StrCat("ticket number ", accepted.ticket.number.value(),
                                  " is used: ", accepted.ticket.author.value(),
                                  " filed it with other content, accepted in revision ", accepted.number.value()));
}

absl::StatusOr<AcceptanceDecision> decideAcceptance(const AcceptanceInput &input, const Ticket &ticket, WallTime now)
{
    if (absl::Status status = validateTicket(ticket); !status.ok())
        return status;
    if (input.existingRevision) {
        if (input.existingRevision->ticket == ticket)
            return AcceptanceDecision{*input.existingRevision, true};
        return numberUsedError(*input.existingRevision);
    }
    if (absl::Status status = checkNotSuperseded(*input.state, ticket); !status.ok())
        return status;
    const Revision revision{RevisionNumber(input.headRevision.value() + 1), ticket, now};
    if (const absl::StatusOr<ConfigState> next = input.state->apply(revision); !next.ok())
        return next.status();
    return AcceptanceDecision{revision, false};
}

} // namespace dandeliondock
