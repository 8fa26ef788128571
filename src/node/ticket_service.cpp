#include <dandeliondock/node/ticket_service.h>

#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/store/row_keys.h>

#include <absl/strings/str_cat.h>

#include <thread>

namespace dandeliondock {

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
    const FilingExecutor executor(m_store, m_cache, m_jitter);
    TicketFiling filing(ticket);
    FilingAction action = filing.start();
    while (!std::holds_alternative<CompleteFiling>(action))
        action = filing.handleEvent(executor.perform(action), m_time.wall());
    return std::get<CompleteFiling>(action).result;
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

absl::StatusOr<ConfigStatePtr> TicketService::stateAtHead(RevisionNumber head)
{
    return readConfigAt(m_store, head, m_cache);
}

} // namespace dandeliondock
