#include <dandeliondock/proxy/origin_form.h>

#include <catch2/catch.hpp>

#include <string>
#include <utility>

namespace dandeliondock {
namespace {

std::pair<std::string, std::string> hostAndTarget(const std::string &target)
{
    HttpRequest request{"GET", target, {}, {}};
    request.headers.add("Host", "other");
    useOriginForm(request);
    return {std::string(request.headers.first("host").value_or("")), request.target};
}

} // namespace

// Guards against requests with the absolute form of the target that match no route, and against a path that changes on
// the way.
TEST_CASE("a target in absolute form names the host and the path", "[proxy]")
{
    using Pair = std::pair<std::string, std::string>;
    CHECK(hostAndTarget("http://h/a/1?x=/#y") == Pair("h", "/a/1?x=/#y"));
    CHECK(hostAndTarget("HTTP://H:80/a/%2e//") == Pair("H:80", "/a/%2e//"));
    CHECK(hostAndTarget("http://h") == Pair("h", "/"));
    CHECK(hostAndTarget("http://h?x") == Pair("h", "/?x"));
    for (const char *unchanged : {"/a/http://h/", "*", "h:80", "http:///a", "http://user@h/a", "https://h/a", ""})
        CHECK(hostAndTarget(unchanged) == Pair("other", unchanged));
}

} // namespace dandeliondock
