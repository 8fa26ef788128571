#include "fixed_routing.h"

#include <dandeliondock/core/error.h>

#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

namespace dandeliondock::testing {

namespace {

constexpr std::uint32_t shedStatus = 429;

} // namespace

FixedRouting::FixedRouting(std::vector<Address> targets, Milliseconds timeout) : m_targets(std::move(targets))
{
    m_service.name = ServiceName("ledger");
    m_service.shedStatus = shedStatus;
    m_service.drainHeader = "X-Drain";
    m_lookups.name = RouteName("lookups");
    m_lookups.idempotent = true;
    m_lookups.timeout = timeout;
    m_orders.name = RouteName("orders");
    m_orders.timeout = timeout;
}

RoutingHooks FixedRouting::hooks()
{
    auto self = shared_from_this();
    RoutingHooks hooks;
    hooks.match = [self](absl::string_view, absl::string_view path) -> absl::StatusOr<RouteMatch> {
        if (absl::StartsWith(path, "/absent"))
            return makeError(ErrorKind::NotFound, "no route matches");
        const Route &route = absl::StartsWith(path, "/orders") ? self->m_orders : self->m_lookups;
        return RouteMatch{nullptr, &route, &self->m_service};
    };
    hooks.select = [self](const SelectionRequest &request) { return self->select(request); };
    return hooks;
}

int FixedRouting::openSessions() const
{
    const std::scoped_lock lock(m_mutex);
    return m_openSessions;
}

absl::StatusOr<std::shared_ptr<TargetSession>> FixedRouting::select(const SelectionRequest &request)
{
    const std::scoped_lock lock(m_mutex);
    if (m_targets.empty())
        return makeError(ErrorKind::NoTarget, "the list is empty");
    Endpoint endpoint;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        endpoint.address = m_targets[m_nextTarget++ % m_targets.size()];
        endpoint.target = TargetId(endpoint.address.value());
        if (std::find(request.tried.begin(), request.tried.end(), endpoint.target) == request.tried.end())
            break;
    }
    ++m_openSessions;
    auto self = shared_from_this();
    return std::make_shared<TargetSession>(endpoint, false, [self](const std::optional<AttemptOutcome> &) {
        const std::scoped_lock sessionLock(self->m_mutex);
        --self->m_openSessions;
    });
}

} // namespace dandeliondock::testing
