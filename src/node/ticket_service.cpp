#include <dandeliondock/node/ticket_service.h>

#include <dandeliondock/codec/bytes.h>
#include <dandeliondock/codec/config_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/store/rows.h>
#include <dandeliondock/tickets/acceptance.h>

#include <absl/strings/str_cat.h>

#include <store.pb.h>

namespace dandeliondock {

namespace {

constexpr int maxTries = 8;
constexpr std::size_t scanLimit = 256;

absl::StatusOr<RevisionNumber> decodeHead(const TableRow &row)
{
    if (row.version == RowVersion{})
        return RevisionNumber{};
    const auto head = parseBytes<wire::HeadRow>(row.value, ErrorKind::InvalidRow, "row head");
    if (!head.ok())
        return head.status();
    return RevisionNumber(head->revision());
}

absl::StatusOr<Revision> decodeTicketRow(const TableRow &row)
{
    const auto message = parseBytes<wire::TicketRow>(row.value, ErrorKind::InvalidRow, row.key.value());
    if (!message.ok())
        return message.status();
    absl::StatusOr<Ticket> ticket = decodeTicket(message->ticket());
    if (!ticket.ok())
        return ticket.status();
    return Revision{RevisionNumber(message->revision()), *std::move(ticket),
                    WallTime(Milliseconds(message->accepted_unix_ms()))};
}

Transaction encodeAcceptance(const Revision &revision, RowVersion headVersion)
{
    wire::HeadRow head;
    head.set_revision(revision.number.value());
    head.set_last_ticket(revision.ticket.number.value());
    wire::TicketRow ticket;
    *ticket.mutable_ticket() = encodeTicket(revision.ticket);
    ticket.set_revision(revision.number.value());
    ticket.set_accepted_unix_ms(revision.acceptedAt.time_since_epoch().count());
    Transaction transaction;
    transaction.conditions = {{headKey(), headVersion}, {ticketKey(revision.ticket.number), RowVersion{}}};
    transaction.writes = {{headKey(), head.SerializeAsString()},
                          {ticketKey(revision.ticket.number), ticket.SerializeAsString()},
                          {revisionKey(revision.number), encodeRevision(revision).SerializeAsString()}};
    return transaction;
}

} // namespace

absl::StatusOr<RevisionNumber> readHead(const StoreHooks &store)
{
    const absl::StatusOr<std::vector<TableRow>> rows = store.read({headKey()});
    if (!rows.ok())
        return rows.status();
    return decodeHead(rows->front());
}

absl::Status readRevisions(const StoreHooks &store, RevisionNumber head, ConfigStore &config)
{
    while (config.current()->revision() < head) {
        const RevisionNumber next(config.current()->revision().value() + 1);
        const auto rows = store.scan({revisionPrefix, revisionKey(next).value(), scanLimit});
        if (!rows.ok())
            return rows.status();
        if (rows->empty())
            return makeError(ErrorKind::InvalidRow, absl::StrCat("the table has no row ", revisionKey(next).value()));
        for (const TableRow &row : *rows) {
            const auto message = parseBytes<wire::Revision>(row.value, ErrorKind::InvalidRow, row.key.value());
            if (!message.ok())
                return message.status();
            const absl::StatusOr<Revision> revision = decodeRevision(*message);
            if (!revision.ok())
                return revision.status();
            if (absl::Status status = config.apply(*revision); !status.ok())
                return status;
        }
    }
    return absl::OkStatus();
}

TicketService::TicketService(StoreHooks store, TimeSource time) : m_store(std::move(store)), m_time(std::move(time)) {}

absl::StatusOr<FiledTicket> TicketService::file(const Ticket &ticket)
{
    for (int tries = 0; tries < maxTries; ++tries) {
        const absl::StatusOr<std::optional<FiledTicket>> filed = tryOnce(ticket);
        if (!filed.ok())
            return filed.status();
        if (*filed)
            return **filed;
    }
    return makeError(ErrorKind::HeadContended, "other tickets were accepted first at every try");
}

absl::StatusOr<std::optional<FiledTicket>> TicketService::tryOnce(const Ticket &ticket)
{
    const auto rows = m_store.read({headKey(), ticketKey(ticket.number)});
    if (!rows.ok())
        return rows.status();
    const absl::StatusOr<RevisionNumber> head = decodeHead(rows->at(0));
    if (!head.ok())
        return head.status();
    AcceptanceView view{*head, nullptr, std::nullopt};
    if (rows->at(1).version != RowVersion{}) {
        absl::StatusOr<Revision> same = decodeTicketRow(rows->at(1));
        if (!same.ok())
            return same.status();
        view.sameNumber = *std::move(same);
    }
    const absl::StatusOr<ConfigSnapshot> state = stateAtHead(*head);
    if (!state.ok())
        return state.status();
    view.state = *state;
    const absl::StatusOr<AcceptancePlan> plan = planAcceptance(view, ticket, m_time.wall());
    if (!plan.ok())
        return plan.status();
    if (plan->repeated)
        return FiledTicket{plan->revision.number, true};
    const absl::StatusOr<CommitResult> result = m_store.commit(encodeAcceptance(plan->revision, rows->at(0).version));
    if (errorKind(result.status()) == ErrorKind::OutcomeUnknown) {
        const absl::StatusOr<Revision> settled = accepted(ticket.number);
        if (settled.ok() && settled->ticket == ticket)
            return FiledTicket{settled->number, false};
        return result.status();
    }
    if (!result.ok())
        return result.status();
    if (!result->committed)
        return std::optional<FiledTicket>();
    return FiledTicket{plan->revision.number, false};
}

absl::StatusOr<Revision> TicketService::accepted(TicketNumber number)
{
    const auto rows = m_store.read({ticketKey(number)});
    if (!rows.ok())
        return rows.status();
    if (rows->front().version == RowVersion{})
        return makeError(ErrorKind::NotFound, absl::StrCat("ticket ", number.value(), " was not accepted"));
    return decodeTicketRow(rows->front());
}

absl::StatusOr<ConfigSnapshot> TicketService::stateAtHead(RevisionNumber head)
{
    if (absl::Status status = readRevisions(m_store, head, m_cache); !status.ok())
        return status;
    const ConfigSnapshot state = m_cache.current();
    if (state->revision() != head)
        return makeError(ErrorKind::HeadContended, "another ticket was accepted meanwhile");
    return state;
}

} // namespace dandeliondock
