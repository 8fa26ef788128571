#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace dandeliondock {

/// \brief Failures of the new version on one route within guardWindow that make a plain failure.
inline constexpr std::uint32_t guardFailures = 6;
/// \brief Answers of the old version on the same route, all without failure, that must stand beside them. With 5 of
/// them and one failure allowed, the start of a shared fault was blamed on the new version in 8 of 100 simulated
/// rollouts.
inline constexpr std::uint32_t guardOldAnswers = 20;
/// \brief Length of the window in which both versions are compared.
inline constexpr Seconds guardWindow{10};

/// \brief A node's wish that a rollout be rolled back.
struct RollbackRequest
{
    TicketNumber rollout;
    RouteName route;
    std::string reason;

    bool operator==(const RollbackRequest &) const = default;
};

/// \brief Detects a plain failure of the new version in what one node sees: at least half of the new answers failed and
/// none of the old ones beside them.
///
/// \remark A window begins with a failure of the new version: old answers from before it say nothing of a shared fault.
/// \remark Belongs to one thread.
class LocalGuard
{
public:
    /// \brief Takes an outcome that is evidence; a wish is returned once for each rollout.
    [[nodiscard]] std::optional<RollbackRequest> record(TicketNumber rollout, const RouteName &route, bool newVersion,
                                                        bool failed, MonotonicTime now);

    /// \brief Forgets everything of a rollout that ended.
    void forget(TicketNumber rollout);

private:
    struct Side
    {
        std::uint32_t answers = 0;
        std::uint32_t failures = 0;
    };
    struct Window
    {
        MonotonicTime start;
        Side oldSide;
        Side newSide;
    };

    [[nodiscard]] static bool isPlainFailure(const Window &window) noexcept;

    std::map<TicketNumber, std::map<RouteName, Window>> m_rollouts;
    std::set<TicketNumber> m_wished;
};

} // namespace dandeliondock
