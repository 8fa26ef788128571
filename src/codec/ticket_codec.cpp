#include <dandeliondock/codec/ticket_codec.h>

#include <dandeliondock/codec/config_codec.h>
#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/core/error.h>

namespace dandeliondock {

namespace {

wire::TicketStatus::State encodeTicketState(TicketState state)
{
    switch (state) {
    case TicketState::Accepted:
        return wire::TicketStatus::STATE_ACCEPTED;
    case TicketState::InForce:
        return wire::TicketStatus::STATE_IN_FORCE;
    case TicketState::RollingOut:
        return wire::TicketStatus::STATE_ROLLING_OUT;
    case TicketState::Completed:
        return wire::TicketStatus::STATE_COMPLETED;
    case TicketState::RolledBack:
        return wire::TicketStatus::STATE_ROLLED_BACK;
    }
    return wire::TicketStatus::STATE_UNSPECIFIED;
}

} // namespace

absl::StatusOr<Ticket> parseTicket(absl::string_view json)
{
    wire::Ticket message;
    if (absl::Status status = parseJson(json, ErrorKind::InvalidTicket, "ticket", message); !status.ok())
        return status;
    absl::StatusOr<Ticket> ticket = decodeTicket(message);
    if (!ticket.ok())
        return makeError(ErrorKind::InvalidTicket, errorDetail(ticket.status()));
    return ticket;
}

wire::TicketStatus encodeTicketStatus(const Revision &accepted, const TicketStatus &status)
{
    wire::TicketStatus message;
    message.set_number(status.number.value());
    message.set_state(encodeTicketState(status.state));
    message.set_revision(status.revision.value());
    message.set_reason(status.reason);
    message.set_lowest_revision(status.acknowledged.lowest.value());
    message.set_attached_nodes(status.acknowledged.nodes);
    message.set_share(status.share.value());
    message.set_late(status.isOverdue);
    message.set_author(accepted.ticket.author.value());
    message.set_note(accepted.ticket.note);
    return message;
}

} // namespace dandeliondock
