#include "standins/memory_table.h"

#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/node/filing_executor.h>
#include <dandeliondock/node/ticket_service.h>
#include <dandeliondock/store/row_keys.h>
#include <dandeliondock/store/snapshots.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <map>

namespace dandeliondock {
namespace {

using standins::MemoryTable;

constexpr std::size_t scanLimit = 10'000;

// Fault of one store call. After DelayWrite the caller gets no response and the write takes effect during a later call.
enum class Fault { None, Reject, DropResponse, DropRequest, DelayWrite };

// Store that draws a fault for each call. The rows of a read are read one after the other, and delayed writes may take
// effect between them.
class FaultyTable
{
public:
    FaultyTable()
    {
        m_hooks = m_table.hooks();
        m_hooks.read = [this](const std::vector<RowKey> &keys) { return read(keys); };
        m_hooks.scan = [this](const ScanRange &range) { return scan(range); };
        m_hooks.commit = [this](const Transaction &transaction) { return commit(transaction); };
    }

    const StoreHooks &hooks() const { return m_hooks; }

    StoreHooks faultFreeHooks() { return m_table.hooks(); }

    void runAllDelayed()
    {
        while (!m_delayed.empty())
            runDelayed();
    }

private:
    static Fault drawFault()
    {
        return *rc::gen::weightedElement<Fault>({{12, Fault::None},
                                                 {2, Fault::Reject},
                                                 {1, Fault::DropResponse},
                                                 {1, Fault::DropRequest},
                                                 {3, Fault::DelayWrite}});
    }

    static absl::Status rejection() { return makeError(ErrorKind::StoreUnavailable, "refused by the test"); }

    void runDelayed()
    {
        (void)m_table.commit(m_delayed.front());
        m_delayed.pop_front();
    }

    void maybeRunDelayed()
    {
        if (!m_delayed.empty() && *rc::gen::inRange(0, 4) == 0)
            runDelayed();
    }

    absl::StatusOr<std::vector<TableRow>> read(const std::vector<RowKey> &keys)
    {
        if (drawFault() == Fault::Reject)
            return rejection();
        std::vector<TableRow> rows(keys.size());
        for (std::size_t i = keys.size(); i > 0; --i) {
            rows[i - 1] = m_table.read({keys[i - 1]}).front();
            maybeRunDelayed();
        }
        return rows;
    }

    absl::StatusOr<std::vector<TableRow>> scan(const ScanRange &range)
    {
        if (drawFault() == Fault::Reject)
            return rejection();
        return m_table.scan(range);
    }

    absl::StatusOr<CommitResult> commit(const Transaction &transaction)
    {
        const Fault fault = drawFault();
        if (fault == Fault::None)
            return m_table.commit(transaction);
        if (fault == Fault::Reject)
            return rejection();
        if (fault == Fault::DropResponse)
            (void)m_table.commit(transaction);
        if (fault == Fault::DelayWrite)
            m_delayed.push_back(transaction);
        return makeError(ErrorKind::OutcomeUnknown, "lost by the test");
    }

    MemoryTable m_table;
    std::deque<Transaction> m_delayed;
    StoreHooks m_hooks;
};

// Every ticket sets one of two services, so that filings conflict often.
Ticket drawTicket(int author)
{
    const std::string name = *rc::gen::element<std::string>("ledger", "pricing");
    Ticket ticket;
    ticket.number = TicketNumber(*rc::gen::inRange<std::uint64_t>(1, 6));
    ticket.author = AuthorName("operator-" + std::to_string(author));
    Service service;
    service.name = ServiceName(name);
    service.version = VersionName("v1");
    ticket.resources = {Version{service.name, service.version}, service};
    return ticket;
}

struct ConcurrentFiling
{
    explicit ConcurrentFiling(Ticket filedTicket)
        : ticket(std::move(filedTicket)), machine(ticket), action(machine.start())
    {
    }

    [[nodiscard]] bool isComplete() const { return std::holds_alternative<CompleteFiling>(action); }

    [[nodiscard]] const absl::StatusOr<FiledTicket> &result() const { return std::get<CompleteFiling>(action).result; }

    Ticket ticket;
    TicketFiling machine;
    FilingAction action;
};

// Executes one action of a randomly selected filing at a time until all filings are complete, then the delayed writes.
void runInterleaved(FaultyTable &table, std::deque<ConcurrentFiling> &filings)
{
    const JitterHook noWait = [](Milliseconds) {};
    std::deque<ConfigStore> caches(2);
    std::vector<std::size_t> pending;
    for (std::size_t i = 0; i < filings.size(); ++i)
        pending.push_back(i);
    while (!pending.empty()) {
        const std::size_t pick = *rc::gen::inRange<std::size_t>(0, pending.size());
        ConcurrentFiling &filing = filings[pending[pick]];
        if (!filing.isComplete()) {
            const FilingExecutor executor(table.hooks(), caches[pending[pick] % caches.size()], noWait);
            filing.action = filing.machine.handleEvent(executor.perform(filing.action), WallTime{});
        }
        if (filing.isComplete())
            pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(pick));
    }
    table.runAllDelayed();
}

std::vector<Revision> readRevisions(const StoreHooks &store)
{
    std::vector<Revision> revisions;
    const std::vector<TableRow> rows = *store.scan({revisionPrefix, {}, scanLimit});
    for (const TableRow &row : rows)
        revisions.push_back(*decodeRevisionRow(row));
    return revisions;
}

void checkResult(const ConcurrentFiling &filing, const std::vector<Revision> &revisions)
{
    const auto occurrences = std::count_if(revisions.begin(), revisions.end(),
                                           [&](const Revision &revision) { return revision.ticket == filing.ticket; });
    if (filing.result().ok()) {
        RC_ASSERT(occurrences == 1);
        const RevisionNumber number = filing.result()->revision;
        RC_ASSERT(number.value() >= 1 && number.value() <= revisions.size());
        RC_ASSERT(revisions[number.value() - 1].ticket == filing.ticket);
    } else if (errorKind(filing.result().status()) != ErrorKind::OutcomeUnknown) {
        RC_ASSERT(occurrences == 0);
    }
}

void checkHistory(const std::vector<Revision> &revisions)
{
    std::map<TicketNumber, int> ticketCounts;
    std::map<ResourceKey, TicketNumber> lastTickets;
    for (std::size_t i = 0; i < revisions.size(); ++i) {
        RC_ASSERT(revisions[i].number.value() == i + 1);
        RC_ASSERT(++ticketCounts[revisions[i].ticket.number] == 1);
        for (const ResourceKey &key : affectedKeys(revisions[i].ticket)) {
            RC_ASSERT(lastTickets[key] < revisions[i].ticket.number);
            lastTickets[key] = revisions[i].ticket.number;
        }
    }
}

} // namespace

// Guards against filing results that contradict the table, gaps between revisions, and an older ticket that overwrites
// a newer one, when several operators file at once and the store drops, delays and rejects calls.
TEST_CASE("the results of concurrent filings match the table", "[tickets]")
{
    rc::prop("results match, revisions have no gaps, tickets stay in order", [] {
        FaultyTable table;
        std::deque<ConcurrentFiling> filings;
        const int count = *rc::gen::inRange(1, 6);
        for (int i = 0; i < count; ++i)
            filings.emplace_back(drawTicket(i));
        runInterleaved(table, filings);
        const std::vector<Revision> revisions = readRevisions(table.faultFreeHooks());
        checkHistory(revisions);
        for (const ConcurrentFiling &filing : filings)
            checkResult(filing, revisions);
    });
}

// Guards against a repeated filing that is accepted a second time or that returns another revision.
TEST_CASE("a repeated filing returns the revision of the first", "[tickets]")
{
    rc::prop("filing again after concurrent filings", [] {
        FaultyTable table;
        std::deque<ConcurrentFiling> filings;
        for (int i = 0; i < 3; ++i)
            filings.emplace_back(drawTicket(i));
        runInterleaved(table, filings);
        TicketService service(table.faultFreeHooks(), systemTime(), [](Milliseconds) {});
        for (const ConcurrentFiling &filing : filings) {
            if (!filing.result().ok())
                continue;
            const absl::StatusOr<FiledTicket> repeated = service.file(filing.ticket);
            RC_ASSERT(repeated.ok());
            RC_ASSERT(repeated->alreadyAccepted);
            RC_ASSERT(repeated->revision == filing.result()->revision);
        }
    });
}

// Guards against a conflict error that does not tell the operator which ticket was accepted instead.
TEST_CASE("a conflict error names the accepted ticket", "[tickets]")
{
    MemoryTable table;
    TicketService service(table.hooks(), systemTime(), [](Milliseconds) {});
    Ticket acceptedTicket;
    acceptedTicket.number = TicketNumber(7);
    acceptedTicket.author = AuthorName("ada");
    acceptedTicket.resources = {
            Version{ServiceName("ledger"), VersionName("v1")},
            Service{ServiceName("ledger"), VersionName("v1"), {}, {}, SlotCount(20), ConnectionCount(130), 0, {}, {}}};
    REQUIRE(service.file(acceptedTicket).ok());
    Ticket rejectedTicket = acceptedTicket;
    rejectedTicket.number = TicketNumber(5);
    const absl::Status superseded = service.file(rejectedTicket).status();
    CHECK(errorKind(superseded) == ErrorKind::TicketSuperseded);
    CHECK(superseded.message().find("ticket 7") != absl::string_view::npos);
    rejectedTicket.number = acceptedTicket.number;
    rejectedTicket.author = AuthorName("grace");
    const absl::Status numberUsed = service.file(rejectedTicket).status();
    CHECK(errorKind(numberUsed) == ErrorKind::TicketNumberUsed);
    CHECK(numberUsed.message().find("ada") != absl::string_view::npos);
}

// Guards against reporting a ticket as not accepted, or committing it again, while the first write can still take
// effect.
TEST_CASE("a commit without a response is resolved by reads only", "[tickets]")
{
    MemoryTable table;
    StoreHooks hooks = table.hooks();
    int commits = 0;
    hooks.commit = [&](const Transaction &) -> absl::StatusOr<CommitResult> {
        ++commits;
        return makeError(ErrorKind::OutcomeUnknown, "lost by the test");
    };
    TicketService service(hooks, systemTime(), [](Milliseconds) {});
    Ticket ticket;
    ticket.number = TicketNumber(1);
    ticket.author = AuthorName("ada");
    ticket.removals = {{ResourceKind::Route, "orders", {}}};
    CHECK(errorKind(service.file(ticket).status()) == ErrorKind::OutcomeUnknown);
    CHECK(commits == 1);
}

// Guards against reporting the outcome as unknown although the ticket can be read from the table.
TEST_CASE("a commit that took effect is reported as accepted although its response is lost", "[tickets]")
{
    MemoryTable table;
    StoreHooks hooks = table.hooks();
    hooks.commit = [&](const Transaction &transaction) -> absl::StatusOr<CommitResult> {
        (void)table.commit(transaction);
        return makeError(ErrorKind::OutcomeUnknown, "lost by the test");
    };
    TicketService service(hooks, systemTime(), [](Milliseconds) {});
    Ticket ticket;
    ticket.number = TicketNumber(1);
    ticket.author = AuthorName("ada");
    ticket.removals = {{ResourceKind::Route, "orders", {}}};
    const absl::StatusOr<FiledTicket> filedTicket = service.file(ticket);
    REQUIRE(filedTicket.ok());
    CHECK(filedTicket->revision == RevisionNumber(1));
}

} // namespace dandeliondock
