#include <dandeliondock/admission/attempt_gate.h>

#include <chrono>
#include <cmath>

namespace dandeliondock {

namespace {

constexpr int retryAfterSmoothing = 4;

} // namespace

double AttemptGate::remaining(const Counts &counts, MonotonicTime now)
{
    const std::chrono::duration<double> elapsed = now - counts.decayedAt;
    return std::exp(-elapsed / std::chrono::duration<double>(attemptGateTime));
}

std::optional<Microseconds> AttemptGate::withhold(const RouteName &route, WorkClass workClass, double random,
                                                  MonotonicTime now) const
{
    const auto known = m_routes.find(route);
    if (known == m_routes.end())
        return std::nullopt;
    const Counts &counts = known->second;
    const double share = remaining(counts, now);
    const double attempts = counts.attempts * share;
    if (attempts < minGatedAttempts)
        return std::nullopt;
    const double perAccepted = workClass == WorkClass::Critical ? criticalAttemptsPerAccepted : attemptsPerAccepted;
    const double excess = attempts - perAccepted * (counts.accepted * share + 1);
    if (random * attempts >= excess)
        return std::nullopt;
    return counts.retryAfter;
}

AttemptGate::Counts &AttemptGate::countAttempt(const RouteName &route, MonotonicTime now)
{
    if (m_routes.size() >= maxRoutes)
        m_routes.clear();
    Counts &counts = m_routes.try_emplace(route, Counts{0, 0, {}, now}).first->second;
    const double share = remaining(counts, now);
    counts.attempts = counts.attempts * share + 1;
    counts.accepted *= share;
    counts.decayedAt = now;
    return counts;
}

void AttemptGate::recordAccepted(const RouteName &route, MonotonicTime now)
{
    countAttempt(route, now).accepted += 1;
}

void AttemptGate::recordRefused(const RouteName &route, Microseconds retryAfter, MonotonicTime now)
{
    Counts &counts = countAttempt(route, now);
    if (retryAfter.count() > 0)
        counts.retryAfter += (retryAfter - counts.retryAfter) / retryAfterSmoothing;
}

} // namespace dandeliondock
