#include <dandeliondock/rollout/rollout_record.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

rc::Gen<RolloutRecord> anyRecord()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0U, 4U), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3)),
                        [](const auto &values) {
                            const auto &[stage, state, reason] = values;
                            return RolloutRecord{TicketNumber(7), ServiceName("ledger"), StageIndex(stage),
                                                 static_cast<RolloutState>(state), std::string(reason, 'r')};
                        });
}

} // namespace

// Guards against nodes that end in different states because they received records in another order or grouping, or more
// than once.
TEST_CASE("merging records is commutative, associative and idempotent", "[rollout]")
{
    rc::prop("for any records", [] {
        const RolloutRecord a = *anyRecord();
        const RolloutRecord b = *anyRecord();
        const RolloutRecord c = *anyRecord();
        RC_ASSERT(mergeRecords(a, b) == mergeRecords(b, a));
        RC_ASSERT(mergeRecords(mergeRecords(a, b), c) == mergeRecords(a, mergeRecords(b, c)));
        RC_ASSERT(mergeRecords(a, a) == a);
    });
    rc::prop("the merged record is never below either one", [] {
        const RolloutRecord a = *anyRecord();
        const RolloutRecord b = *anyRecord();
        const RolloutRecord merged = mergeRecords(a, b);
        RC_ASSERT(merged.state == std::max(a.state, b.state));
        RC_ASSERT(merged.stage == std::max(a.stage, b.stage));
    });
}

} // namespace dandeliondock
