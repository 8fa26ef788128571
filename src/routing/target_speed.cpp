#include <dandeliondock/routing/target_speed.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dandeliondock {

namespace {

constexpr double speedSmoothing = 0.2;
constexpr double usualSmoothing = 0.05;

WorkFactor limited(double factor)
{
    return WorkFactor(std::clamp(factor, minWorkFactor.value(), maxWorkFactor.value()));
}

} // namespace

void TargetSpeed::record(WorkFactor observed, MonotonicTime now)
{
    const double remembered = std::log(learnt(now).value());
    m_logFactor = remembered + speedSmoothing * (std::log(limited(observed.value()).value()) - remembered);
    m_recordedAt = now;
}

void TargetSpeed::recordCurrent(WorkFactor reported, MonotonicTime now)
{
    m_current = limited(reported.value());
    m_currentAt = now;
}

WorkFactor TargetSpeed::learnt(MonotonicTime now) const
{
    if (m_logFactor == 0)
        return usualWorkFactor;
    const std::chrono::duration<double> age = now - m_recordedAt;
    return WorkFactor(std::exp(m_logFactor * std::exp2(-age / std::chrono::duration<double>(workFactorHalfLife))));
}

WorkFactor TargetSpeed::expected(MonotonicTime now) const
{
    const double remembered = learnt(now).value();
    const bool isNegligible =
            remembered < negligibleWorkFactor.value() && remembered > 1 / negligibleWorkFactor.value();
    const double factor = isNegligible ? usualWorkFactor.value() : remembered;
    const std::chrono::duration<double> age = now - m_currentAt;
    const double weight = 1 - age / std::chrono::duration<double>(currentWorkFactorTtl);
    if (m_currentAt == MonotonicTime() || weight <= 0)
        return WorkFactor(factor);
    return WorkFactor(factor + weight * (m_current.value() - factor));
}

WorkFactor UsualWorkTimes::record(const RouteName &route, Microseconds workTime, WorkFactor speed)
{
    if (m_times.size() >= maxRoutes)
        m_times.clear();
    const auto time = static_cast<double>(workTime.count());
    // The time on a slow target is divided by its factor, or the usual time would follow the targets that are chosen.
    const double atUsualSpeed = time / speed.value();
    const auto [known, isNew] = m_times.try_emplace(route, atUsualSpeed);
    if (!isNew)
        known->second += usualSmoothing * (atUsualSpeed - known->second);
    return limited(time / std::max(known->second, 1.0));
}

Microseconds UsualWorkTimes::of(const RouteName &route) const
{
    const auto known = m_times.find(route);
    return Microseconds(known == m_times.end() ? 0 : static_cast<std::int64_t>(known->second));
}

} // namespace dandeliondock
