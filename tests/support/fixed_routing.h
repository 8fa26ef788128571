#pragma once

#include <dandeliondock/routing/routing_hooks.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace dandeliondock::testing {

/// \brief Routing of every path to a list of targets in turn; targets tried before come last. Thread-safe.
///
/// \remark Paths below /orders are not idempotent, all others are. Status 429 is a shed, header X-Drain a drain mark.
class FixedRouting : public std::enable_shared_from_this<FixedRouting>
{
public:
    FixedRouting(std::vector<Address> targets, Milliseconds timeout);

    /// \brief Hooks that keep the routing alive.
    [[nodiscard]] RoutingHooks hooks();

    /// \brief Number of sessions not yet finished.
    [[nodiscard]] int openSessions() const;

private:
    [[nodiscard]] absl::StatusOr<std::shared_ptr<TargetSession>> select(const SelectionRequest &request);

    std::vector<Address> m_targets;
    Route m_orders;
    Route m_lookups;
    Service m_service;
    mutable std::mutex m_mutex;
    std::size_t m_next = 0;
    int m_open = 0;
};

} // namespace dandeliondock::testing
