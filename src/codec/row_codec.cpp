#include <dandeliondock/codec/row_codec.h>

#include <dandeliondock/codec/config_codec.h>
#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/store/row_keys.h>

#include <absl/strings/str_cat.h>

#include <store.pb.h>

namespace dandeliondock {

namespace {

absl::Status invalidRow(const TableRow &row, absl::string_view reason)
{
    return makeError(ErrorKind::InvalidRow, absl::StrCat("row ", row.key.value(), ": ", reason));
}

template <typename Message>
absl::StatusOr<Message> parseRow(const TableRow &row)
{
    return parseMessage<Message>(row.value, ErrorKind::InvalidRow, absl::StrCat("row ", row.key.value()));
}

std::uint32_t encodeRolloutState(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return 1;
    case RolloutState::Completed:
        return 2;
    case RolloutState::RolledBack:
        return 3;
    }
    return 0;
}

absl::StatusOr<RolloutState> decodeRolloutState(const TableRow &row, std::uint32_t state)
{
    switch (state) {
    case 1:
        return RolloutState::Running;
    case 2:
        return RolloutState::Completed;
    case 3:
        return RolloutState::RolledBack;
    default:
        return invalidRow(row, absl::StrCat("unknown rollout state ", state));
    }
}

absl::Status checkRevisionNumbers(const TableRow &row, const Revision &revision)
{
    if (revision.number == RevisionNumber{})
        return invalidRow(row, "the revision has no number");
    if (revision.ticket.number == TicketNumber{})
        return invalidRow(row, "the ticket has no number");
    return absl::OkStatus();
}

} // namespace

std::string encodeHeadRow(const HeadRow &head)
{
    wire::HeadRow message;
    message.set_revision(head.revision.value());
    message.set_last_ticket(head.lastTicket.value());
    message.set_snapshot_revision(head.snapshotRevision.value());
    return message.SerializeAsString();
}

std::string encodeTicketRow(const Revision &accepted)
{
    wire::TicketRow message;
    *message.mutable_ticket() = encodeTicket(accepted.ticket);
    message.set_revision(accepted.number.value());
    message.set_accepted_unix_ms(accepted.acceptedAt.time_since_epoch().count());
    return message.SerializeAsString();
}

std::string encodeRevisionRow(const Revision &revision)
{
    return encodeRevision(revision).SerializeAsString();
}

std::string encodeLeaseRow(const LeaseRow &lease)
{
    wire::LeaseRow message;
    message.set_holder(lease.holder.value());
    message.set_control_address(lease.controlAddress.value());
    message.set_fence(lease.fence.value());
    message.set_expires_unix_ms(lease.expiresAt.time_since_epoch().count());
    return message.SerializeAsString();
}

std::string encodeRolloutRow(const RolloutRow &rollout)
{
    wire::RolloutRow message;
    message.set_ticket(rollout.record.ticket.value());
    message.set_service(rollout.record.service.value());
    message.set_stage(rollout.record.stage.value());
    message.set_state(encodeRolloutState(rollout.record.state));
    message.set_fence(rollout.fence.value());
    message.set_reason(rollout.record.reason);
    return message.SerializeAsString();
}

absl::StatusOr<VersionedHead> decodeHeadRow(const TableRow &row)
{
    if (row.version == RowVersion{})
        return VersionedHead{};
    const auto message = parseRow<wire::HeadRow>(row);
    if (!message.ok())
        return message.status();
    // The row is written only when a ticket has been accepted, so a row without a revision is damaged.
    if (message->revision() == 0 || message->last_ticket() == 0)
        return invalidRow(row, "the revision or the last ticket is missing");
    if (message->snapshot_revision() > message->revision())
        return invalidRow(row, "the snapshot is later than the revision");
    return VersionedHead{{RevisionNumber(message->revision()), TicketNumber(message->last_ticket()),
                          RevisionNumber(message->snapshot_revision())},
                         row.version};
}

absl::StatusOr<Revision> decodeTicketRow(const TableRow &row)
{
    const auto message = parseRow<wire::TicketRow>(row);
    if (!message.ok())
        return message.status();
    absl::StatusOr<Ticket> ticket = decodeTicket(message->ticket());
    if (!ticket.ok())
        return invalidRow(row, errorDetail(ticket.status()));
    Revision accepted{RevisionNumber(message->revision()), *std::move(ticket),
                      WallTime(Milliseconds(message->accepted_unix_ms()))};
    if (absl::Status status = checkRevisionNumbers(row, accepted); !status.ok())
        return status;
    if (row.key != ticketKey(accepted.ticket.number))
        return invalidRow(row, absl::StrCat("it holds ticket ", accepted.ticket.number.value()));
    return accepted;
}

absl::StatusOr<Revision> decodeRevisionRow(const TableRow &row)
{
    const auto message = parseRow<wire::Revision>(row);
    if (!message.ok())
        return message.status();
    absl::StatusOr<Revision> revision = decodeRevision(*message);
    if (!revision.ok())
        return invalidRow(row, errorDetail(revision.status()));
    if (absl::Status status = checkRevisionNumbers(row, *revision); !status.ok())
        return status;
    if (row.key != revisionKey(revision->number))
        return invalidRow(row, absl::StrCat("it holds revision ", revision->number.value()));
    return revision;
}

absl::StatusOr<LeaseRow> decodeLeaseRow(const TableRow &row)
{
    const auto message = parseRow<wire::LeaseRow>(row);
    if (!message.ok())
        return message.status();
    if (message->fence() == 0)
        return invalidRow(row, "the fence is missing");
    return LeaseRow{NodeId(message->holder()), Address(message->control_address()), FencingToken(message->fence()),
                    WallTime(Milliseconds(message->expires_unix_ms()))};
}

absl::StatusOr<RolloutRow> decodeRolloutRow(const TableRow &row)
{
    const auto message = parseRow<wire::RolloutRow>(row);
    if (!message.ok())
        return message.status();
    if (message->ticket() == 0 || message->service().empty())
        return invalidRow(row, "the ticket or the service is missing");
    const absl::StatusOr<RolloutState> state = decodeRolloutState(row, message->state());
    if (!state.ok())
        return state.status();
    RolloutRow rollout;
    rollout.record = {TicketNumber(message->ticket()), ServiceName(message->service()), StageIndex(message->stage()),
                      *state, message->reason()};
    rollout.fence = FencingToken(message->fence());
    return rollout;
}

} // namespace dandeliondock
