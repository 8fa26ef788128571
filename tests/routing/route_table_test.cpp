#include <dandeliondock/routing/route_table.h>

#include <support/routing_fixture.h>

#include <absl/strings/match.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

namespace dandeliondock {

using tests::ledgerState;
using tests::routeOf;

namespace {

// Reference implementation: the prefix matches complete segments of the path without its query.
bool isPrefix(const std::string &prefix, const std::string &path)
{
    std::string pathWithoutQuery = path.substr(0, path.find_first_of("?#"));
    std::string normalisedPrefix = prefix;
    if (normalisedPrefix.back() == '/')
        normalisedPrefix.pop_back();
    return absl::StartsWith(pathWithoutQuery, "/")
           && (pathWithoutQuery == normalisedPrefix || absl::StartsWith(pathWithoutQuery, normalisedPrefix + "/"));
}

std::string routeName(const RouteMatch &match)
{
    return match.route == nullptr ? "" : match.route->name.value();
}

rc::Gen<std::string> genPath()
{
    return rc::gen::map(rc::gen::container<std::string>(rc::gen::element('a', 'b', '/', '?', '%', '.', '\0', '\xff')),
                        [](const std::string &tail) { return "/" + tail; });
}

} // namespace

// Guards against requests that match a route whose prefix ends within a path segment.
TEST_CASE("a prefix matches complete segments of the raw path", "[routing]")
{
    const RouteTable table(ledgerState({routeOf("orders", "/orders"), routeOf("archive", "/orders/archive/"),
                                        routeOf("all", "/", "mill.example")}));
    CHECK(routeName(table.match("", "/orders")) == "orders");
    CHECK(routeName(table.match("", "/orders?full=/archive")) == "orders");
    CHECK(routeName(table.match("", "/orders/7")) == "orders");
    CHECK(routeName(table.match("", "/orders/archive")) == "archive");
    CHECK(routeName(table.match("", "/orders2")).empty());
    CHECK(routeName(table.match("", "/%6frders")).empty());
    CHECK(routeName(table.match("", "")).empty());
    CHECK(routeName(table.match("", "orders")).empty());
    CHECK(routeName(table.match("Mill.Example:8080", "/orders")) == "all");
    CHECK(routeName(table.match("other.example", "/orders")) == "orders");
}

// Guards against a lookup that misses the longest prefix for an unusual path.
TEST_CASE("the longest matching prefix wins for any path", "[routing]")
{
    rc::prop("the table agrees with a linear search through all routes", [] {
        const auto prefixes = *rc::gen::container<std::vector<std::string>>(
                rc::gen::map(rc::gen::container<std::string>(rc::gen::element('a', 'b', '/')),
                             [](std::string s) { return "/" + s; }));
        const std::string path = *genPath();
        std::vector<Route> routes;
        for (std::size_t index = 0; index < prefixes.size(); ++index)
            routes.push_back(routeOf("r" + std::to_string(100 + index), prefixes[index]));
        const RouteTable table(ledgerState(routes));
        const RouteMatch match = table.match("any", path);
        std::size_t longest = 0;
        for (const std::string &prefix : prefixes) {
            if (isPrefix(prefix, path))
                longest = std::max(longest, prefix.size() - (prefix.back() == '/' ? 1 : 0) + 1);
        }
        if (match.route == nullptr)
            RC_ASSERT(longest == 0U);
        else {
            const std::string &found = match.route->pathPrefix;
            RC_ASSERT(isPrefix(found, path));
            RC_ASSERT(found.size() - (found.back() == '/' ? 1 : 0) + 1 == longest);
            RC_ASSERT(match.service->name.value() == "ledger");
        }
    });
}

} // namespace dandeliondock
