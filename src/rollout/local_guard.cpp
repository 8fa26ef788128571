#include <dandeliondock/rollout/local_guard.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

std::optional<RollbackRequest> LocalGuard::record(TicketNumber rollout, const RouteName &route, bool newVersion,
                                                  bool failed, MonotonicTime now)
{
    Window &window = m_rollouts[rollout][route];
    const bool hasExpired = now - window.start >= guardWindow;
    if (hasExpired || window.newCounts.failures == 0)
        window = {now, {}, {}};
    if (window.newCounts.failures == 0 && !(newVersion && failed))
        return std::nullopt;
    OutcomeCounts &counts = newVersion ? window.newCounts : window.oldCounts;
    ++counts.outcomes;
    counts.failures += failed ? 1 : 0;
    if (!isClearFailure(window) || !m_requested.insert(rollout).second)
        return std::nullopt;
    return RollbackRequest{rollout, route,
                           absl::StrCat("route ", route.value(), ": the new version failed ", window.newCounts.failures,
                                        " of ", window.newCounts.outcomes, ", the old one ", window.oldCounts.failures,
                                        " of ", window.oldCounts.outcomes, " within the same window")};
}

void LocalGuard::forget(TicketNumber rollout)
{
    m_rollouts.erase(rollout);
    m_requested.erase(rollout);
}

bool LocalGuard::isClearFailure(const Window &window) noexcept
{
    const bool isNewFailing =
            window.newCounts.failures >= minGuardFailures && window.newCounts.failures * 2 >= window.newCounts.outcomes;
    const bool isOldHealthy = window.oldCounts.outcomes >= minGuardOldOutcomes && window.oldCounts.failures == 0;
    return isNewFailing && isOldHealthy;
}

} // namespace dandeliondock
