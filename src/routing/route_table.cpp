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
    const std::size_t bracket = host.rfind(']'); // of an IPv6 address
    const std::size_t colon = host.rfind(':');
    if (colon == absl::string_view::npos || (bracket != absl::string_view::npos && colon < bracket))
        return host;
    return host.substr(0, colon);
}

// "/" becomes the empty prefix, which stands before every path that begins with '/'.
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
    const absl::string_view bare = withoutQuery(path);
    Target target = find(absl::AsciiStrToLower(withoutPort(host)), bare);
    if (target.route == nullptr && !host.empty())
        target = find({}, bare);
    if (target.route == nullptr)
        return {};
    return {m_state, target.route, target.service};
}

void RouteTable::add(const Route &route)
{
    HostRoutes &routes = m_hosts[absl::AsciiStrToLower(route.host)];
    const absl::string_view prefix = withoutTrailingSlash(route.pathPrefix);
    // Of two routes with one host and prefix the first by name stands, at every node alike.
    routes.prefixes.try_emplace(std::string(prefix), Target{&route, m_state->service(route.service)});
    routes.longest = std::max(routes.longest, prefix.size());
}

RouteTable::Target RouteTable::find(absl::string_view host, absl::string_view path) const
{
    const auto routes = m_hosts.find(host);
    if (routes == m_hosts.end() || path.empty() || path.front() != '/')
        return {};
    return findPrefix(routes->second, path);
}

RouteTable::Target RouteTable::findPrefix(const HostRoutes &routes, absl::string_view path)
{
    // Only ends of segments within the longest prefix are tried, which bounds the work for a long path.
    std::size_t end = path.size();
    if (end > routes.longest)
        end = path.rfind('/', routes.longest);
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
