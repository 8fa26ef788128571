#include <dandeliondock/rollout/local_guard.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

std::optional<RollbackRequest> LocalGuard::record(TicketNumber rollout, const RouteName &route, bool newVersion,
                                                  bool failed, MonotonicTime now)
{
    Window &window = m_rollouts[rollout][route];
    const bool isOver = now - window.start >= guardWindow;
    if (isOver || window.newSide.failures == 0)
        window = {now, {}, {}};
    if (window.newSide.failures == 0 && !(newVersion && failed))
        return std::nullopt;
    Side &side = newVersion ? window.newSide : window.oldSide;
    ++side.answers;
    side.failures += failed ? 1 : 0;
    if (!isPlainFailure(window) || !m_wished.insert(rollout).second)
        return std::nullopt;
    return RollbackRequest{rollout, route,
                           absl::StrCat("route ", route.value(), ": the new version failed ", window.newSide.failures,
                                        " of ", window.newSide.answers, ", the old one ", window.oldSide.failures,
                                        " of ", window.oldSide.answers, " within the same window")};
}

void LocalGuard::forget(TicketNumber rollout)
{
    m_rollouts.erase(rollout);
    m_wished.erase(rollout);
}

bool LocalGuard::isPlainFailure(const Window &window) noexcept
{
    const bool newFails =
            window.newSide.failures >= guardFailures && window.newSide.failures * 2 >= window.newSide.answers;
    const bool oldHolds = window.oldSide.answers >= guardOldAnswers && window.oldSide.failures == 0;
    return newFails && oldHolds;
}

} // namespace dandeliondock
