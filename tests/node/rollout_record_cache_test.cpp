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

rc::Gen<RolloutRecord> recordGenerator()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(1U, 5U), rc::gen::inRange(0U, 4U), rc::gen::inRange(0, 3)),
                        [](const auto &draw) {
                            const auto [ticket, stage, state] = draw;
                            return recordOf(ticket, stage, static_cast<RolloutState>(state));
                        });
}

} // namespace

// Guards against a rollback that is undone by a late record of a stage or of the completion.
TEST_CASE("a rollback wins in any order of the records", "[node]")
{
    rc::prop("caches that merge the same records in another order are equal, and a rollback stays", [] {
        const auto records = *rc::gen::container<std::vector<RolloutRecord>>(recordGenerator());
        auto shuffled = records;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        RolloutRecordCache first;
        RolloutRecordCache second;
        for (const RolloutRecord &record : records)
            (void)first.merge({record});
        (void)second.merge(shuffled);
        RC_ASSERT(first.records() == second.records());
        for (const RolloutRecord &merged : first.records()) {
            const bool rolledBack = std::any_of(records.begin(), records.end(), [&](const RolloutRecord &record) {
                return record.ticket == merged.ticket && record.state == RolloutState::RolledBack;
            });
            RC_ASSERT((merged.state == RolloutState::RolledBack) == rolledBack);
        }
    });
}

// Guards against a record that returns to an earlier stage, and against a repeated record that is relayed again.
TEST_CASE("a record never returns to an earlier stage and a repetition is no change", "[node]")
{
    RolloutRecordCache cache;
    const RolloutRecord late = recordOf(7, 3, RolloutState::Running);
    CHECK(cache.merge({late}) == std::vector{late});
    CHECK(cache.merge({late}).empty());
    CHECK(cache.merge({recordOf(7, 1, RolloutState::Running)}).empty());
    CHECK(cache.records() == std::vector{late});
}

// Guards against memory that grows with the number of tickets.
TEST_CASE("records of the two latest tickets are kept for each service", "[node]")
{
    RolloutRecordCache cache;
    for (std::uint64_t ticket = 1; ticket <= 100; ++ticket) {
        (void)cache.merge({recordOf(ticket, 0, RolloutState::Running)});
        REQUIRE(cache.records().size() <= 2);
    }
    CHECK(cache.merge({recordOf(5, 3, RolloutState::RolledBack)}).empty());
    const std::vector<RolloutRecord> records = cache.records();
    REQUIRE(records.size() == 2);
    CHECK(records.front().ticket == TicketNumber(99));
    CHECK(records.back().ticket == TicketNumber(100));
}

// Guards against outcomes that are lost when an earlier batch is acknowledged, or that are sent to two parents.
TEST_CASE("a batch is kept until it is acknowledged or dropped", "[node]")
{
    RolloutRecordCache cache;
    cache.setOutcomes({SequenceNumber(4), {}});
    cache.outcomesAcknowledged(SequenceNumber(3));
    REQUIRE(cache.outcomes().has_value());
    CHECK(cache.outcomes()->sequence == SequenceNumber(4));
    cache.outcomesAcknowledged(SequenceNumber(4));
    CHECK_FALSE(cache.outcomes().has_value());
    cache.setOutcomes({SequenceNumber(5), {}});
    cache.dropOutcomes();
    CHECK_FALSE(cache.outcomes().has_value());
}

} // namespace dandeliondock
