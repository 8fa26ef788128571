#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace dandeliondock {

/// \brief Minimum number of failures of the new version on one route within guardWindow for a clear failure.
inline constexpr std::uint32_t minGuardFailures = 6;
/// \brief Minimum number of outcomes of the old version on the same route within the same window, all successful, for a
/// clear failure of the new one. A weaker condition may attribute the start of a shared fault to the new version:
/// with 5 outcomes, of which one may be a failure, it did so in 8 of 100 simulated rollouts.
inline constexpr std::uint32_t minGuardOldOutcomes = 20;
/// \brief Length of the time window in which both versions are compared.
inline constexpr Seconds guardWindow{10};

/// \brief A node's request to roll a rollout back.
struct RollbackRequest
{
    TicketNumber rollout;
    RouteName route;
    std::string reason;

    bool operator==(const RollbackRequest &) const = default;
};

/// \brief Detects a clear failure of the new version from the outcomes of one node: within a window, at least half of
/// the new version's outcomes are failures and none of the old version's are, with the minimum numbers minGuardFailures
/// and minGuardOldOutcomes.
///
/// \remark A window begins with a failure of the new version, because earlier outcomes of the old version do not show
/// whether the fault is shared.
/// \remark Used by one thread only.
class LocalGuard
{
public:
    /// \brief Adds an outcome that counts as evidence.
    ///
    /// \return A rollback request when the failure is clear; at most one for each rollout.
    [[nodiscard]] std::optional<RollbackRequest> record(TicketNumber rollout, const RouteName &route, bool newVersion,
                                                        bool failed, MonotonicTime now);

    /// \brief Removes all data of a rollout that has ended.
    void forget(TicketNumber rollout);

private:
    struct OutcomeCounts
    {
        std::uint32_t outcomes = 0;
        std::uint32_t failures = 0;
    };
    struct Window
    {
        MonotonicTime start;
        OutcomeCounts oldCounts;
        OutcomeCounts newCounts;
    };

    [[nodiscard]] static bool isClearFailure(const Window &window) noexcept;

    std::map<TicketNumber, std::map<RouteName, Window>> m_rollouts;
    std::set<TicketNumber> m_requested;
};

} // namespace dandeliondock
