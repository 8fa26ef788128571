#include <dandeliondock/rollout/rollout_table.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

namespace dandeliondock {
namespace {

Service ledger(bool rollingOut)
{
    Service service;
    service.name = ServiceName("ledger");
    service.version = VersionName("v2");
    if (rollingOut) {
        service.previousVersion = VersionName("v1");
        service.rollout = RolloutPlan{WallTime(Seconds{600}), {}, Milliseconds{30'000}};
    }
    return service;
}

ConfigState stateOf(TicketNumber number, bool rollingOut)
{
    Ticket ticket;
    ticket.number = number;
    ticket.author = AuthorName("ada");
    const ServiceName name("ledger");
    ticket.resources = {ledger(rollingOut), Version{name, VersionName("v1")}, Version{name, VersionName("v2")}};
    return ConfigState().apply({RevisionNumber(1), ticket, WallTime{}}).value();
}

RolloutRecord recordOf(std::uint64_t ticket, std::uint32_t stage, RolloutState state)
{
    return {TicketNumber(ticket), ServiceName("ledger"), StageIndex(stage), state, {}};
}

} // namespace

// Guards against a reordered, late or repeated record that gives a rolled-back version a share again.
TEST_CASE("a rolled-back version never gets a share again", "[rollout]")
{
    rc::prop("once the rollback is merged the share stays 0, and the stage never decreases", [] {
        const auto events = *rc::gen::container<std::vector<std::tuple<int, std::uint32_t, std::uint64_t>>>(
                rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0U, 7U),
                               rc::gen::inRange(std::uint64_t{6}, std::uint64_t{9})));
        RolloutTable table;
        bool rolledBack = false;
        StageIndex lastStage;
        for (const auto &[kind, stage, ticket] : events) {
            if (kind == 3)
                table.configure(stateOf(TicketNumber(7), true));
            else if (kind == 4)
                table.stopLocally(TicketNumber(7));
            else
                table.merge(recordOf(ticket, stage, static_cast<RolloutState>(kind)));
            const auto current = table.record(ServiceName("ledger"), TicketNumber(7));
            rolledBack = rolledBack || (kind == 2 && ticket == 7);
            const auto split = table.split(ledger(true), 6);
            RC_ASSERT(split.has_value());
            RC_ASSERT(!rolledBack || split->newShare == noShare);
            RC_ASSERT(!current || current->stage >= lastStage);
            lastStage = current ? current->stage : lastStage;
        }
    });
}

// Guards against records of ended rollouts that accumulate while the process runs.
TEST_CASE("records of superseded tickets are dropped and rejected", "[rollout]")
{
    RolloutTable table;
    table.configure(stateOf(TicketNumber(7), true));
    REQUIRE(table.merge(recordOf(7, 2, RolloutState::Running)));
    table.configure(stateOf(TicketNumber(9), false));
    CHECK(table.size() == 0);
    CHECK_FALSE(table.merge(recordOf(7, 3, RolloutState::Running)));
    CHECK_FALSE(table.split(ledger(false), 6).has_value());
}

// Guards against unbounded memory when records arrive for services or tickets that do not exist.
TEST_CASE("the number of records is bounded", "[rollout]")
{
    RolloutTable table;
    for (std::uint64_t number = 0; number < 3 * rolloutRecordLimit; ++number) {
        RolloutRecord record = recordOf(number, 0, RolloutState::Running);
        record.service = ServiceName(std::to_string(number / 2));
        table.merge(record);
    }
    CHECK(table.size() == rolloutRecordLimit);
}

// Guards against a change that is not relayed, or is relayed repeatedly without end.
TEST_CASE("a change is returned only for positions before it", "[rollout]")
{
    RolloutTable table;
    REQUIRE(table.merge(recordOf(7, 1, RolloutState::Running)));
    const ChangeNumber seen = table.lastChange();
    CHECK_FALSE(table.merge(recordOf(7, 0, RolloutState::Running)));
    CHECK(table.changesSince(seen).empty());
    REQUIRE(table.merge(recordOf(7, 0, RolloutState::RolledBack)));
    REQUIRE(table.changesSince(seen).size() == 1);
    CHECK(table.changesSince(seen).front().stage == StageIndex(1));
}

} // namespace dandeliondock
