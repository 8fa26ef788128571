#pragma once

#include <dandeliondock/routing/routing_hooks.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <string>

namespace dandeliondock {

/// \brief The routes of one configuration by host and path prefix.
///
/// A prefix matches whole segments of the raw path: "/orders" matches "/orders" and "/orders/7?full=1", but not
/// "/orders2". A host without a matching route falls back to the routes of every host.
///
/// \remark Immutable; every method is thread-safe.
class RouteTable
{
public:
    /// \pre \c state is not null.
    explicit RouteTable(ConfigStatePtr state);

    /// \brief The route of a request; its members are null when none matches.
    ///
    /// \param host name of the host, with or without a port, in any case.
    /// \param path raw path with its query.
    [[nodiscard]] RouteMatch match(absl::string_view host, absl::string_view path) const;

    [[nodiscard]] const ConfigStatePtr &state() const noexcept { return m_state; }

private:
    struct Target
    {
        const Route *route = nullptr;
        const Service *service = nullptr;
    };

    struct HostRoutes
    {
        absl::flat_hash_map<std::string, Target> prefixes;
        std::size_t longest = 0;
    };

    void add(const Route &route);
    [[nodiscard]] Target find(absl::string_view host, absl::string_view path) const;
    [[nodiscard]] static Target findPrefix(const HostRoutes &routes, absl::string_view path);

    ConfigStatePtr m_state;
    absl::flat_hash_map<std::string, HostRoutes> m_hosts;
};

} // namespace dandeliondock
