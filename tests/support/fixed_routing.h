#pragma once

#include <dandeliondock/routing/routing_hooks.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace dandeliondock::testing {

/// \brief Routing for tests that sends every path to a list of targets in turn. Thread-safe.
///
/// Targets that the request has already tried are selected only if no other target is left.
///
/// \remark Paths that begin with /orders are not idempotent, all others are; paths that begin with /absent have no
/// route. Status 429 is the shed status and X-Drain the drain header of the service.
class FixedRouting : public std::enable_shared_from_this<FixedRouting>
{
public:
    /// \param timeout timeout of the routes
    FixedRouting(std::vector<Address> targets, Milliseconds timeout);

    /// \brief Returns hooks that share ownership of this object.
    ///
    /// \pre The object is owned by a std::shared_ptr.
    [[nodiscard]] RoutingHooks hooks();

    /// \brief Returns the number of target sessions that have not finished.
    [[nodiscard]] int openSessions() const;

private:
    [[nodiscard]] absl::StatusOr<std::shared_ptr<TargetSession>> select(const SelectionRequest &request);

    std::vector<Address> m_targets;
    Route m_orders;
    Route m_lookups;
    Service m_service;
    mutable std::mutex m_mutex;
    std::size_t m_nextTarget = 0;
    int m_openSessions = 0;
};

} // namespace dandeliondock::testing
