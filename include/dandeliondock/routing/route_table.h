#pragma once

#include <dandeliondock/routing/routing_hooks.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <string>

namespace dandeliondock {

/// \brief Routes of one configuration, looked up by host and longest path prefix.
///
/// A prefix matches a raw path that begins with it, in complete segments: "/orders" matches "/orders" and
/// "/orders/7?full=1", but not "/orders2"; "/orders/" matches "/orders/7", but not "/orders". If no route of the host
/// matches, the routes without a host apply.
///
/// \remark Immutable; every method is thread-safe.
class RouteTable
{
public:
    /// \pre \c state is not null.
    explicit RouteTable(ConfigStatePtr state);

    /// \brief Returns the route of a request; the members of the result are null when no route matches.
    ///
    /// \param host host name in upper or lower case, with or without a port.
    /// \param path raw path, with or without a query.
    [[nodiscard]] RouteMatch match(absl::string_view host, absl::string_view path) const;

    [[nodiscard]] const ConfigStatePtr &state() const noexcept { return m_state; }

private:
    struct Entry
    {
        const Route *route = nullptr;
        const Service *service = nullptr;
    };

    struct HostRoutes
    {
        absl::flat_hash_map<std::string, Entry> prefixes;
        std::size_t longestPrefix = 0;
    };

    void add(const Route &route);
    [[nodiscard]] Entry find(absl::string_view host, absl::string_view path) const;
    [[nodiscard]] static Entry findPrefix(const HostRoutes &routes, absl::string_view path);

    ConfigStatePtr m_state;
    absl::flat_hash_map<std::string, HostRoutes> m_hosts;
};

} // namespace dandeliondock
