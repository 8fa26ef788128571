#include <dandeliondock/rollout/rollout_record.h>

#include <algorithm>
#include <tuple>

namespace dandeliondock {

RolloutRecord mergeRecords(const RolloutRecord &left, const RolloutRecord &right)
{
    const bool rightWins = std::tie(left.state, left.reason) < std::tie(right.state, right.reason);
    RolloutRecord merged = rightWins ? right : left;
    merged.stage = std::max(left.stage, right.stage);
    return merged;
}

} // namespace dandeliondock
