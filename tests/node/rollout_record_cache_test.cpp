#include <dandeliondock/node/rollout_record_cache.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

namespace dandeliondock {
namespace {

const ServiceName ledgerName("ledger");

RolloutRecord recordOf(std::uint64_t ticket, std::uint32_t stage, RolloutState state)
{
    const std::string reason = state == RolloutState::RolledBack ? "failures" : "";
    return {TicketNumber(ticket), ledgerName, StageIndex(stage), state, reason};
}

rc::Gen<RolloutRecord> genRecord()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(1U, 5U), rc::gen::inRange(0U, 4U), rc::gen::inRange(0, 3)),
                        [](const auto &draw) {
                            const auto [ticket, stage, state] = draw;
                            return recordOf(ticket, stage, static_cast<RolloutState>(state));
                        });
}

} // namespace

// Guards against a rollback that a late stage or a late "completed" takes back.
TEST_CASE("a rollback wins whatever the order of the records", "[node]")
{
    rc::prop("boards that saw the same records in another order hold the same, and a rollback stays", [] {
        const auto records = *rc::gen::container<std::vector<RolloutRecord>>(genRecord());
        auto shuffled = records;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        RolloutRecordCache first;
        RolloutRecordCache second;
        for (const RolloutRecord &record : records)
            (void)first.merge({record});
        (void)second.merge(shuffled);
        RC_ASSERT(first.records() == second.records());
        for (const RolloutRecord &held : first.records()) {
            const bool rolledBack = std::any_of(records.begin(), records.end(), [&](const RolloutRecord &record) {
                return record.ticket == held.ticket && record.state == RolloutState::RolledBack;
            });
            RC_ASSERT((held.state == RolloutState::RolledBack) == rolledBack);
        }
    });
}

// Guards against a record that falls to an earlier stage and against a repeated record that is relayed again.
TEST_CASE("a record never falls and a repetition is no change", "[node]")
{
    RolloutRecordCache board;
    const RolloutRecord late = recordOf(7, 3, RolloutState::Running);
    CHECK(board.merge({late}) == std::vector{late});
    CHECK(board.merge({late}).empty());
    CHECK(board.merge({recordOf(7, 1, RolloutState::Running)}).empty());
    CHECK(board.records() == std::vector{late});
}

// Guards against memory that grows with the number of tickets.
TEST_CASE("of each service the two latest tickets are held", "[node]")
{
    RolloutRecordCache board;
    for (std::uint64_t ticket = 1; ticket <= 100; ++ticket) {
        (void)board.merge({recordOf(ticket, 0, RolloutState::Running)});
        REQUIRE(board.records().size() <= 2);
    }
    CHECK(board.merge({recordOf(5, 3, RolloutState::RolledBack)}).empty());
    const std::vector<RolloutRecord> held = board.records();
    REQUIRE(held.size() == 2);
    CHECK(held.front().ticket == TicketNumber(99));
    CHECK(held.back().ticket == TicketNumber(100));
}

// Guards against evidence that is lost when an earlier batch is acknowledged, or sent to two parents.
TEST_CASE("a batch waits until it is taken or dropped", "[node]")
{
    RolloutRecordCache board;
    board.setOutcomes({SequenceNumber(4), {}});
    board.outcomesAcknowledged(SequenceNumber(3));
    REQUIRE(board.outcomes().has_value());
    CHECK(board.outcomes()->sequence == SequenceNumber(4));
    board.outcomesAcknowledged(SequenceNumber(4));
    CHECK_FALSE(board.outcomes().has_value());
    board.setOutcomes({SequenceNumber(5), {}});
    board.dropOutcomes();
    CHECK_FALSE(board.outcomes().has_value());
}

} // namespace dandeliondock
