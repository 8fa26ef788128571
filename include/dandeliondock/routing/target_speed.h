#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/strong_type.h>
#include <dandeliondock/core/units.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>

namespace dandeliondock {

/// \brief Work time relative to the usual one: 2 is twice as slow as usual.
using WorkFactor = StrongType<struct WorkFactorTag, double>;

inline constexpr WorkFactor usualWorkFactor{1.0};
/// \brief Bounds of a factor; a larger or smaller observation says more about the request than about the target.
inline constexpr WorkFactor minWorkFactor{0.25};
inline constexpr WorkFactor maxWorkFactor{4.0};
/// \brief Factors from 1 / negligibleWorkFactor to negligibleWorkFactor count as 1, so that the scatter of work times
/// on equal targets moves no requests.
inline constexpr WorkFactor negligibleWorkFactor{1.15};
/// \brief Time after which half of what was learnt about a target is forgotten when nothing is added.
inline constexpr Seconds workFactorHalfLife{20};
/// \brief Age at which the current factor that a target reports is ignored. Other work on its machine slows it for
/// fractions of a second.
inline constexpr Milliseconds currentWorkFactorTtl{300};

/// \brief Learns the speed of one target from its work times relative to the usual ones.
///
/// \remark A value; not thread-safe.
class TargetSpeed
{
public:
    /// \brief Records an observed factor; it is limited to the range of factors.
    void record(WorkFactor observed, MonotonicTime now);

    /// \brief Records the factor that the target reports for the moment.
    void recordCurrent(WorkFactor reported, MonotonicTime now);

    /// \brief Returns the learnt factor, which returns to usualWorkFactor when nothing is recorded.
    [[nodiscard]] WorkFactor learnt(MonotonicTime now) const;

    /// \brief Returns the factor to expect now: the reported one while it is recent, then the learnt one.
    [[nodiscard]] WorkFactor expected(MonotonicTime now) const;

private:
    double m_logFactor = 0; ///< natural logarithm of the learnt factor
    MonotonicTime m_recordedAt;
    WorkFactor m_current = usualWorkFactor;
    MonotonicTime m_currentAt;
};

/// \brief Learns the usual work time of each route over all targets.
///
/// \remark Not thread-safe.
class UsualWorkTimes
{
public:
    /// \brief Records the work time of a route on a target with a speed, and returns its factor.
    /// \pre \c workTime is greater than 0.
    WorkFactor record(const RouteName &route, Microseconds workTime, WorkFactor speed);

    /// \brief Returns the usual work time of a route; 0 when it is unknown.
    [[nodiscard]] Microseconds of(const RouteName &route) const;

private:
    static constexpr std::size_t maxRoutes = 1'024; ///< then all are dropped; a few requests restore them

    absl::flat_hash_map<RouteName, double> m_times; ///< in microseconds
};

} // namespace dandeliondock
