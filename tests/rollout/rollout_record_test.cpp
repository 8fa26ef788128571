#include <dandeliondock/rollout/rollout_record.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

rc::Gen<RolloutRecord> anyRecord()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0U, 4U), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3)),
                        [](const auto &parts) {
                            const auto &[stage, state, reason] = parts;
                            return RolloutRecord{TicketNumber(7), ServiceName("ledger"), StageIndex(stage),
                                                 static_cast<RolloutState>(state), std::string(reason, 'r')};
                        });
}

} // namespace

// Guards against nodes that end in different states because records crossed, were repeated or grouped differently.
TEST_CASE("merging records is a join", "[rollout]")
{
    rc::prop("commutative, associative and idempotent", [] {
        const RolloutRecord a = *anyRecord();
        const RolloutRecord b = *anyRecord();
        const RolloutRecord c = *anyRecord();
        RC_ASSERT(mergeRecords(a, b) == mergeRecords(b, a));
        RC_ASSERT(mergeRecords(mergeRecords(a, b), c) == mergeRecords(a, mergeRecords(b, c)));
        RC_ASSERT(mergeRecords(a, a) == a);
    });
    rc::prop("never below either side", [] {
        const RolloutRecord a = *anyRecord();
        const RolloutRecord b = *anyRecord();
        const RolloutRecord merged = mergeRecords(a, b);
        RC_ASSERT(merged.state == std::max(a.state, b.state));
        RC_ASSERT(merged.stage == std::max(a.stage, b.stage));
    });
}

} // namespace dandeliondock
