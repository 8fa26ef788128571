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

// Reference implementation: the path without its query begins with the prefix, which ends at the end of a segment.
bool isPrefix(const std::string &prefix, const std::string &path)
{
    const std::string pathWithoutQuery = path.substr(0, path.find_first_of("?#"));
    if (!absl::StartsWith(pathWithoutQuery, prefix))
        return false;
    return prefix.back() == '/' || pathWithoutQuery.size() == prefix.size() || pathWithoutQuery[prefix.size()] == '/';
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
    CHECK(routeName(table.match("", "/orders/archive/2026")) == "archive");
    CHECK(routeName(table.match("", "/orders/archive/")) == "archive");
    CHECK(routeName(table.match("", "/orders2")).empty());
    CHECK(routeName(table.match("", "/%6frders")).empty());
    CHECK(routeName(table.match("", "")).empty());
    CHECK(routeName(table.match("", "orders")).empty());
    CHECK(routeName(table.match("Mill.Example:8080", "/orders")) == "all");
    CHECK(routeName(table.match("other.example", "/orders")) == "orders");
}

// Guards against a request that is handled by the rules of a route whose prefix, with its final slash, does not begin
// the path: a request that must not run twice was repeated as one of a nested idempotent route.
TEST_CASE("a prefix with a final slash does not match the path without that slash", "[routing]")
{
    const RouteTable nested(ledgerState({routeOf("orders", "/orders/"), routeOf("prices", "/orders/prices/")}));
    CHECK(routeName(nested.match("", "/orders/prices")) == "orders");
    CHECK(routeName(nested.match("", "/orders/prices?day=/")) == "orders");
    CHECK(routeName(nested.match("", "/orders/prices/")) == "prices");
    CHECK(routeName(nested.match("", "/orders")).empty());
    const RouteTable both(ledgerState({routeOf("exact", "/orders"), routeOf("below", "/orders/")}));
    CHECK(routeName(both.match("", "/orders")) == "exact");
    CHECK(routeName(both.match("", "/orders/")) == "below");
    CHECK(routeName(both.match("", "/orders/7")) == "below");
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
                longest = std::max(longest, prefix.size());
        }
        if (match.route == nullptr)
            RC_ASSERT(longest == 0U);
        else {
            const std::string &found = match.route->pathPrefix;
            RC_ASSERT(isPrefix(found, path));
            RC_ASSERT(found.size() == longest);
            RC_ASSERT(match.service->name.value() == "ledger");
        }
    });
}

} // namespace dandeliondock
