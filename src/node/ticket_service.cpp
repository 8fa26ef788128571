#include <dandeliondock/node/ticket_service.h>

#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/store/rows.h>

#include <absl/strings/str_cat.h>

#include <thread>

namespace dandeliondock {

namespace {

Transaction encodeCommit(const CommitFiling &action)
{
    const RowKey ticket = ticketKey(action.revision.ticket.number);
    Transaction transaction;
    transaction.conditions = {{headKey(), action.headVersion}, {ticket, RowVersion{}}};
    transaction.writes = {{headKey(), encodeHeadRow(action.head)},
                          {ticket, encodeTicketRow(action.revision)},
                          {revisionKey(action.revision.number), encodeRevisionRow(action.revision)}};
    return transaction;
}

absl::StatusOr<FilingRowsRead> decodeFilingRows(const std::vector<TableRow> &rows)
{
    FilingRowsRead event;
    const absl::StatusOr<VersionedHead> head = decodeHeadRow(rows.at(0));
    if (!head.ok())
        return head.status();
    event.head = *head;
    if (rows.at(1).version == RowVersion{})
        return event;
    absl::StatusOr<Revision> accepted = decodeTicketRow(rows.at(1));
    if (!accepted.ok())
        return accepted.status();
    event.sameNumber = *std::move(accepted);
    return event;
}

} // namespace

JitterHook systemJitter()
{
    return [](Milliseconds atMost) {
        const auto bound = static_cast<std::uint64_t>(atMost.count()) + 1;
        std::this_thread::sleep_for(Milliseconds(uniformBelow(systemRandom(), bound)));
    };
}

TicketService::TicketService(StoreHooks store, TimeSource time, JitterHook jitter)
    : m_store(std::move(store)), m_time(std::move(time)), m_jitter(std::move(jitter))
{
}

absl::StatusOr<FiledTicket> TicketService::file(const Ticket &ticket)
{
    Filing filing(ticket);
    FilingAction action = filing.start();
    while (!std::holds_alternative<AnswerFiling>(action)) {
        const FilingEvent event = std::visit(
                [this](const auto &item) -> FilingEvent {
                    if constexpr (std::is_same_v<std::decay_t<decltype(item)>, AnswerFiling>)
                        return FilingWaited{};
                    else
                        return perform(item);
                },
                action);
        action = filing.on(event, m_time.wall());
    }
    return std::get<AnswerFiling>(action).answer;
}

FilingEvent TicketService::perform(const ReadFilingRows &action)
{
    const auto rows = m_store.read({headKey(), ticketKey(action.number)});
    if (!rows.ok())
        return FilingReadFailed{rows.status()};
    absl::StatusOr<FilingRowsRead> event = decodeFilingRows(*rows);
    if (!event.ok())
        return FilingReadFailed{event.status()};
    return *std::move(event);
}

FilingEvent TicketService::perform(const LoadFilingState &action)
{
    return FilingStateLoaded{stateAtHead(action.revision)};
}

FilingEvent TicketService::perform(const CommitFiling &action)
{
    const absl::StatusOr<CommitResult> result = m_store.commit(encodeCommit(action));
    if (result.ok())
        return result->committed ? FilingEvent(FilingCommitted{}) : FilingEvent(FilingConditionFailed{});
    if (errorKind(result.status()) == ErrorKind::StoreUnavailable)
        return FilingCommitUnavailable{result.status()};
    return FilingCommitUnknown{result.status()};
}

FilingEvent TicketService::perform(const WaitFiling &action)
{
    m_jitter(action.atMost);
    return FilingWaited{};
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

absl::StatusOr<std::vector<Revision>> TicketService::list(TicketNumber from, std::size_t limit)
{
    const auto rows = m_store.scan({ticketPrefix, ticketKey(from).value(), limit});
    if (!rows.ok())
        return rows.status();
    std::vector<Revision> tickets;
    for (const TableRow &row : *rows) {
        absl::StatusOr<Revision> accepted = decodeTicketRow(row);
        if (!accepted.ok())
            return accepted.status();
        tickets.push_back(*std::move(accepted));
    }
    return tickets;
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
