#include "support/accounts_deployment.h"
#include "support/raw_socket.h"

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
const std::string smallLimits = R"({"max_header_bytes":4096,"max_body_bytes":1000})";

FakeStoreFaults unresponsive()
{
    FakeStoreFaults faults;
    faults.isUnresponsive = true;
    return faults;
}

/// Returns the status line of the response to a request with the given header lines and body.
std::string statusLine(std::uint16_t port, const std::string &lines, const std::string &body = {})
{
    const RawConnection connection(port);
    connection.write(absl::StrCat("POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Dandeliondock-Attempt-Id: x\r\nContent-Length: ",
                                  body.size(), "\r\nAuthorization: Bearer ", millKey, "\r\n", lines, "\r\n", body));
    return connection.readUntil("\r\n").substr(0, 12);
}

std::string longHeader()
{
    return absl::StrCat("X-Note: ", std::string(6'000, 'n'), "\r\n");
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

// Guards against 404 and 401 for what a configuration has added that the proxies cannot use.
TEST_CASE("a proxy that cannot use the newest configuration refuses unknown routes and keys with 503", "[platform]")
{
    AccountsDeployment deployment;
    deployment.startServing();
    const std::string sharedKey = absl::StrCat(quoted(millKey), ",", quoted(newKey), ",", quoted(farmKey));
    deployment.store.put("op", "config", configText(2, sharedKey, newRoute)); // refused: two accounts hold one key
    std::this_thread::sleep_for(applyBound);
    for (const std::size_t proxy : {0U, 1U}) {
        CHECK(deployment.callProxy(proxy, "/new/1").status == 503);
        CHECK(deployment.callWithKey(newKey, proxy).status == 503);
        CHECK(deployment.callWithKey(millKey, proxy).status == 200);
    }
    deployment.store.put("op", "config", configText(3, quoted(millKey)));
    for (const std::size_t proxy : {0U, 1U}) {
        CHECK(deployment.eventually([&] { return deployment.callProxy(proxy, "/new/1").status == 404; }));
        CHECK(deployment.callWithKey(newKey, proxy).status == 401);
    }
}

// Guards against 413 and 431 for sizes that a later configuration allows.
TEST_CASE("a proxy without a recent confirmation refuses long requests with 503", "[platform]")
{
    AccountsDeployment deployment;
    const std::string body(2'000, 'b');
    deployment.startServing();
    deployment.store.put("op", "config", configText(2, quoted(millKey), {}, smallLimits));
    const std::uint16_t port = deployment.callersPort();
    REQUIRE(deployment.eventually([&] { return statusLine(port, {}, body) == "HTTP/1.1 413"; }));
    REQUIRE(statusLine(port, longHeader()) == "HTTP/1.1 431");

    deployment.store.setFaults(unresponsive());
    deployment.store.put("op", "config", configText(3, quoted(millKey)));
    checkAfterBound(BootClock::now(), [&] {
        CHECK(statusLine(port, {}, body) == "HTTP/1.1 503");
        CHECK(statusLine(port, longHeader()) == "HTTP/1.1 503");
    });

    deployment.store.setFaults({});
    CHECK(deployment.eventually([&] { return statusLine(port, {}, body) == "HTTP/1.1 200"; }));
    CHECK(statusLine(port, longHeader()) == "HTTP/1.1 200");
}

// Guards against 413 and 431 by preset limits of a proxy that has not read a configuration.
TEST_CASE("a proxy without a configuration refuses long requests with 503", "[platform]")
{
    AccountsDeployment deployment;
    CHECK(statusLine(deployment.callersPort(), absl::StrCat("X-Note: ", std::string(20'000, 'n'), "\r\n"))
          == "HTTP/1.1 503");
    CHECK(statusLine(deployment.callersPort(), {}, std::string(9'000'000, 'b')) == "HTTP/1.1 503");
}

} // namespace dandeliondock::testing
