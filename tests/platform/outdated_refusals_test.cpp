#include "support/accounts_deployment.h"

#include <dandeliondock/core/boot_clock.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <string>
#include <thread>

// A proxy without contact to the store cannot know whether a later configuration allows what its own one does not.
// Later than the time in which a configuration must be in force, it must not refuse such requests finally.

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds applyBound{3'000}; // default of config_apply_ms
const std::string newKey = "k3y-new";
const std::string newRoute =
        R"("new":{"host":"h","prefix":"/new/","kind":"safe","timeout_ms":2000,"priority":2,"service":"s",)"
        R"("auth_exempt":true},)";

FakeStoreFaults unresponsive()
{
    FakeStoreFaults faults;
    faults.isUnresponsive = true;
    return faults;
}

/// Calls \c check from the end of the bound until the key lease ends as well, and some time later.
template <typename Check>
void checkAfterBound(BootTime writtenAt, const Check &check)
{
    std::this_thread::sleep_until(std::chrono::steady_clock::now() + applyBound - (BootClock::now() - writtenAt));
    while (BootClock::now() - writtenAt < withdrawalBoundOfTests + Milliseconds(500)) {
        check();
        std::this_thread::sleep_for(Milliseconds(50));
    }
}

} // namespace

// Guards against 404 and 401 for routes and keys that a later configuration has added.
TEST_CASE("a proxy without a recent confirmation refuses unknown routes and keys with 503", "[platform]")
{
    AccountsDeployment deployment;
    deployment.startServing();
    deployment.store.setFaults(unresponsive());
    deployment.store.put("op", "config", configText(2, absl::StrCat(quoted(millKey), ",", quoted(newKey)), newRoute));
    checkAfterBound(BootClock::now(), [&] {
        for (const std::size_t proxy : {0U, 1U}) {
            for (const HttpResponse &response :
                 {deployment.callProxy(proxy, "/new/1"), deployment.callWithKey(newKey, proxy),
                  deployment.callProxy(proxy, "/a/1")}) {
                CHECK(response.status == 503);
                CHECK(response.headers.first("Retry-After").has_value());
            }
        }
    });
    CHECK(deployment.callProxy(0, "/open/1").status == 200);
    CHECK_THAT(deployment.metricsPage(), Catch::Contains("config_unconfirmed"));

    deployment.store.setFaults({});
    for (const std::size_t proxy : {0U, 1U}) {
        CHECK(deployment.eventually([&] { return deployment.callWithKey(newKey, proxy).status == 200; }));
        CHECK(deployment.callProxy(proxy, "/new/1").status == 200);
        CHECK(deployment.eventually([&] { return deployment.callProxy(proxy, "/none/").status == 404; }));
        CHECK(deployment.callWithKey("k3y-of-nobody", proxy).status == 401);
    }
}

} // namespace dandeliondock::testing
