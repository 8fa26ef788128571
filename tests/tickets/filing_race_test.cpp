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

constexpr std::size_t allRows = 10'000;

// What the store does with one call. A delayed write takes effect at some later call, after its answer was lost.
enum class Fault { None, Refuse, LoseAnswer, LoseRequest, DelayWrite };

// Table whose faults are drawn call by call; the rows of one read are read one after the other, and delayed writes may
// take effect between them.
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

    StoreHooks faultlessHooks() { return m_table.hooks(); }

    void settle()
    {
        while (!m_delayed.empty())
            runDelayed();
    }

private:
    static Fault drawFault()
    {
        return *rc::gen::weightedElement<Fault>({{12, Fault::None},
                                                 {2, Fault::Refuse},
                                                 {1, Fault::LoseAnswer},
                                                 {1, Fault::LoseRequest},
                                                 {3, Fault::DelayWrite}});
    }

    static absl::Status refused() { return makeError(ErrorKind::StoreUnavailable, "refused by the test"); }

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
        if (drawFault() == Fault::Refuse)
            return refused();
        std::vector<TableRow> rows(keys.size());
        for (std::size_t i = keys.size(); i > 0; --i) {
            rows[i - 1] = m_table.read({keys[i - 1]}).front();
            maybeRunDelayed();
        }
        return rows;
    }

    absl::StatusOr<std::vector<TableRow>> scan(const ScanRange &range)
    {
        if (drawFault() == Fault::Refuse)
            return refused();
        return m_table.scan(range);
    }

    absl::StatusOr<CommitResult> commit(const Transaction &transaction)
    {
        const Fault fault = drawFault();
        if (fault == Fault::None)
            return m_table.commit(transaction);
        if (fault == Fault::Refuse)
            return refused();
        if (fault == Fault::LoseAnswer)
            (void)m_table.commit(transaction);
        if (fault == Fault::DelayWrite)
            m_delayed.push_back(transaction);
        return makeError(ErrorKind::OutcomeUnknown, "lost by the test");
    }

    MemoryTable m_table;
    std::deque<Transaction> m_delayed;
    StoreHooks m_hooks;
};

// Every ticket sets one of two services, so that operators conflict often.
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

struct Operator
{
    explicit Operator(Ticket filed) : ticket(std::move(filed)), filing(ticket), action(filing.start()) {}

    [[nodiscard]] bool done() const { return std::holds_alternative<CompleteFiling>(action); }

    [[nodiscard]] const absl::StatusOr<FiledTicket> &answer() const { return std::get<CompleteFiling>(action).answer; }

    Ticket ticket;
    TicketFiling filing;
    FilingAction action;
};

void runInterleaved(FaultyTable &table, std::deque<Operator> &operators)
{
    const JitterHook noWait = [](Milliseconds) {};
    std::deque<ConfigStore> caches(2);
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < operators.size(); ++i)
        open.push_back(i);
    while (!open.empty()) {
        const std::size_t turn = *rc::gen::inRange<std::size_t>(0, open.size());
        Operator &filer = operators[open[turn]];
        if (!filer.done()) {
            const FilingExecutor driver(table.hooks(), caches[open[turn] % caches.size()], noWait);
            filer.action = filer.filing.handleEvent(driver.perform(filer.action), WallTime{});
        }
        if (filer.done())
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(turn));
    }
    table.settle();
}

std::vector<Revision> revisionsOf(const StoreHooks &store)
{
    std::vector<Revision> revisions;
    const std::vector<TableRow> rows = *store.scan({revisionPrefix, {}, allRows});
    for (const TableRow &row : rows)
        revisions.push_back(*decodeRevisionRow(row));
    return revisions;
}

void checkAnswer(const Operator &filer, const std::vector<Revision> &revisions)
{
    const auto stands = std::count_if(revisions.begin(), revisions.end(),
                                      [&](const Revision &item) { return item.ticket == filer.ticket; });
    if (filer.answer().ok()) {
        RC_ASSERT(stands == 1);
        const RevisionNumber number = filer.answer()->revision;
        RC_ASSERT(number.value() >= 1 && number.value() <= revisions.size());
        RC_ASSERT(revisions[number.value() - 1].ticket == filer.ticket);
    } else if (errorKind(filer.answer().status()) != ErrorKind::OutcomeUnknown) {
        RC_ASSERT(stands == 0);
    }
}

void checkHistory(const std::vector<Revision> &revisions)
{
    std::map<TicketNumber, int> tickets;
    std::map<ResourceKey, TicketNumber> last;
    for (std::size_t i = 0; i < revisions.size(); ++i) {
        RC_ASSERT(revisions[i].number.value() == i + 1);
        RC_ASSERT(++tickets[revisions[i].ticket.number] == 1);
        for (const ResourceKey &key : affectedKeys(revisions[i].ticket)) {
            RC_ASSERT(last[key] < revisions[i].ticket.number);
            last[key] = revisions[i].ticket.number;
        }
    }
}

} // namespace

// Guards against an answer to an operator that the table contradicts, against gaps between revisions, and against an
// older ticket overwriting a newer one, when operators race and the store loses, delays and refuses calls.
TEST_CASE("racing operators get true answers", "[tickets]")
{
    rc::prop("answers, density and order of tickets", [] {
        FaultyTable table;
        std::deque<Operator> operators;
        const int count = *rc::gen::inRange(1, 6);
        for (int i = 0; i < count; ++i)
            operators.emplace_back(drawTicket(i));
        runInterleaved(table, operators);
        const std::vector<Revision> revisions = revisionsOf(table.faultlessHooks());
        checkHistory(revisions);
        for (const Operator &filer : operators)
            checkAnswer(filer, revisions);
    });
}

// Guards against a repeated filing that is accepted a second time or answered with another revision.
TEST_CASE("a repeated filing gets the first answer", "[tickets]")
{
    rc::prop("filing again after a race", [] {
        FaultyTable table;
        std::deque<Operator> operators;
        for (int i = 0; i < 3; ++i)
            operators.emplace_back(drawTicket(i));
        runInterleaved(table, operators);
        TicketService service(table.faultlessHooks(), systemTime(), [](Milliseconds) {});
        for (const Operator &filer : operators) {
            if (!filer.answer().ok())
                continue;
            const absl::StatusOr<FiledTicket> again = service.file(filer.ticket);
            RC_ASSERT(again.ok());
            RC_ASSERT(again->alreadyAccepted);
            RC_ASSERT(again->revision == filer.answer()->revision);
        }
    });
}

// Guards against an operator who cannot learn which ticket won.
TEST_CASE("a conflict names the winning ticket", "[tickets]")
{
    MemoryTable table;
    TicketService service(table.hooks(), systemTime(), [](Milliseconds) {});
    Ticket winner;
    winner.number = TicketNumber(7);
    winner.author = AuthorName("ada");
    winner.resources = {
            Version{ServiceName("ledger"), VersionName("v1")},
            Service{ServiceName("ledger"), VersionName("v1"), {}, {}, SlotCount(20), ConnectionCount(130), 0, {}, {}}};
    REQUIRE(service.file(winner).ok());
    Ticket late = winner;
    late.number = TicketNumber(5);
    const absl::Status superseded = service.file(late).status();
    CHECK(errorKind(superseded) == ErrorKind::TicketSuperseded);
    CHECK(superseded.message().find("ticket 7") != absl::string_view::npos);
    late.number = winner.number;
    late.author = AuthorName("grace");
    const absl::Status used = service.file(late).status();
    CHECK(errorKind(used) == ErrorKind::TicketNumberUsed);
    CHECK(used.message().find("ada") != absl::string_view::npos);
}

// Guards against "not accepted" being said of a write that can still take effect.
TEST_CASE("a lost answer is settled by reading only", "[tickets]")
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

// Guards against a ticket in the table whose operator is told that the outcome is unknown although it can be read.
TEST_CASE("a write that took effect is settled as accepted after its answer is lost", "[tickets]")
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
    const absl::StatusOr<FiledTicket> filed = service.file(ticket);
    REQUIRE(filed.ok());
    CHECK(filed->revision == RevisionNumber(1));
}

} // namespace dandeliondock
