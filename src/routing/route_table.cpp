#include <dandeliondock/routing/route_table.h>

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

absl::string_view withoutQuery(absl::string_view path)
{
    return path.substr(0, path.find_first_of("?#"));
}

absl::string_view withoutPort(absl::string_view host)
{
    const std::size_t bracket = host.rfind(']'); // end of an IPv6 address
    const std::size_t colon = host.rfind(':');
    if (colon == absl::string_view::npos || (bracket != absl::string_view::npos && colon < bracket))
        return host;
    return host.substr(0, colon);
}

} // namespace

RouteTable::RouteTable(ConfigStatePtr state) : m_state(std::move(state))
{
    for (const auto &[key, stamped] : m_state->resources()) {
        if (!stamped.resource)
            continue;
        if (const Route *route = std::get_if<Route>(&*stamped.resource))
            add(*route);
    }
}

RouteMatch RouteTable::match(absl::string_view host, absl::string_view path) const
{
    const absl::string_view pathWithoutQuery = withoutQuery(path);
    Entry entry = find(absl::AsciiStrToLower(withoutPort(host)), pathWithoutQuery);
    if (entry.route == nullptr && !host.empty())
        entry = find({}, pathWithoutQuery);
    if (entry.route == nullptr)
        return {};
    return {m_state, entry.route, entry.service};
}

void RouteTable::add(const Route &route)
{
    HostRoutes &routes = m_hosts[absl::AsciiStrToLower(route.host)];
    // Of two routes with the same host and prefix, all nodes use the one whose name comes first.
    routes.prefixes.try_emplace(route.pathPrefix, Entry{&route, m_state->service(route.service)});
    routes.longestPrefix = std::max(routes.longestPrefix, route.pathPrefix.size());
}

RouteTable::Entry RouteTable::find(absl::string_view host, absl::string_view path) const
{
    const auto routes = m_hosts.find(host);
    if (routes == m_hosts.end() || path.empty() || path.front() != '/')
        return {};
    return findPrefix(routes->second, path);
}

RouteTable::Entry RouteTable::findPrefix(const HostRoutes &routes, absl::string_view path)
{
    // Looks up only prefixes that end at the end of a segment and are no longer than the longest prefix, which bounds
    // the number of lookups for a long path.
    if (path.size() <= routes.longestPrefix) {
        const auto found = routes.prefixes.find(path);
        if (found != routes.prefixes.end())
            return found->second;
    }
    std::size_t slash = path.rfind('/', routes.longestPrefix);
    while (slash != absl::string_view::npos) {
        for (const std::size_t length : {slash + 1, slash}) {
            const auto found = routes.prefixes.find(path.substr(0, length));
            if (found != routes.prefixes.end())
                return found->second;
        }
        slash = slash == 0 ? absl::string_view::npos : path.rfind('/', slash - 1);
    }
    return {};
}

} // namespace dandeliondock
