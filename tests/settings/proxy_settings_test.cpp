#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/proxy_settings.h>

#include <catch2/catch.hpp>

#include <string>

namespace dandeliondock {
namespace {

std::string settingsWith(const std::string &line)
{
    return R"({"node":"n","region":"r","data_centre":"d","callers":"10.0.0.1:1","door":"10.0.0.1:2",)"
           R"("health":"10.0.0.1:3","announcements":"10.0.0.1:4","metrics":"10.0.0.1:5","target":"10.0.0.1:6",)"
           R"("service":"s","store":"10.0.0.2:1")"
           + line + "}";
}

} // namespace

// Guards against a machine whose link is taken for faster than it is, and against one whose responses are held back
// because a rate is missing.
TEST_CASE("the rate of the link is optional and checked", "[settings]")
{
    const auto without = parseProxySettings(settingsWith(""));
    REQUIRE(without.ok());
    CHECK(without->responseRate == DataRate(0));
    const auto with = parseProxySettings(settingsWith(R"(,"link_mbps":20)"));
    REQUIRE(with.ok());
    CHECK(with->responseRate < DataRate(2'500'000));
    CHECK(with->responseRate > DataRate(2'000'000));
    for (const char *bad : {"-1", "1e300", "2000000"}) {
        const auto refused = parseProxySettings(settingsWith(std::string(",\"link_mbps\":") + bad));
        REQUIRE_FALSE(refused.ok());
        CHECK_THAT(std::string(refused.status().message()), Catch::Contains("link_mbps"));
    }
}

} // namespace dandeliondock
