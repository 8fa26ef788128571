#include <dandeliondock/routing/route_table.h>

#include <absl/strings/ascii.h>
#include <absl/strings/strip.h>

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

// "/" becomes the empty prefix, which matches every path that begins with '/'.
absl::string_view withoutTrailingSlash(absl::string_view prefix)
{
    return absl::StripSuffix(prefix, "/");
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
    const absl::string_view prefix = withoutTrailingSlash(route.pathPrefix);
    // Of two routes with the same host and prefix, all nodes use the one whose name comes first.
    routes.prefixes.try_emplace(std::string(prefix), Entry{&route, m_state->service(route.service)});
    routes.longestPrefix = std::max(routes.longestPrefix, prefix.size());
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
    // Looks up only prefixes that end at a segment boundary and are no longer than the longest prefix, which bounds the
    // number of lookups for a long path.
    std::size_t end = path.size();
    if (end > routes.longestPrefix)
        end = path.rfind('/', routes.longestPrefix);
    while (true) {
        const auto found = routes.prefixes.find(path.substr(0, end));
        if (found != routes.prefixes.end())
            return found->second;
        if (end == 0)
            return {};
        end = path.rfind('/', end - 1);
    }
}

} // namespace dandeliondock
