#include "support/accounts_deployment.h"
#include "support/raw_socket.h"

#include <dandeliondock/core/boot_clock.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <thread>
#include <utility>

namespace dandeliondock::testing {

// Guards against requests that reach a target without a key, with the key, or under an account that the client made up.
TEST_CASE("a request needs the key of an account, and its target gets the account instead of the key", "[platform]")
{
    AccountsDeployment deployment;
    HttpHeaders headers;
    headers.add("Authorization", "bearer " + millKey);
    headers.add("X-Dandeliondock-Tenant", "forged");
    headers.add("Connection", "X-Dandeliondock-Tenant, Authorization");
    CHECK(deployment.callProxy(0, "/a/1", headers).status == 503); // no configuration
    deployment.startServing();
    const HttpResponse served = deployment.callProxy(0, "/a/1", headers);
    CHECK(served.status == 200);
    CHECK_THAT(served.body, Catch::Contains("X-Dandeliondock-Tenant: mill\n"));
    CHECK_THAT(served.body, !Catch::Contains("forged") && !Catch::Contains("uthorization"));
    const HttpResponse plain = deployment.callWithKey(farmKey);
    CHECK_THAT(plain.body, Catch::Contains("X-Dandeliondock-Tenant: farm\n") && !Catch::Contains("uthorization"));

    CHECK(deployment.callProxy(0, "/none/", headers).status == 404);
    const HttpResponse refused = deployment.callProxy(0, "/a/1");
    CHECK(refused.status == 401);
    CHECK(refused.headers.first("WWW-Authenticate") == "Bearer");
    CHECK(deployment.callWithKey("k3y-of-nobody").status == 401);

    headers.remove("Connection"); // removes the key as well
    const HttpResponse exempt = deployment.callProxy(0, "/open/1", headers);
    CHECK(exempt.status == 200);
    CHECK_THAT(exempt.body, !Catch::Contains("Tenant") && !Catch::Contains("uthorization"));
    HttpHeaders other;
    other.add("Authorization", "Basic of-the-application");
    CHECK_THAT(deployment.callProxy(0, "/open/1", other).body, Catch::Contains("Basic of-the-application"));
    CHECK(deployment.callProxy(0, "/open/1").status == 200);
}

// Guards against a key that an operator or a client can find in a log, on the metrics page or in a response.
TEST_CASE("keys appear neither in the log nor on the metrics page nor in responses", "[platform]")
{
    AccountsDeployment deployment;
    deployment.startServing();
    std::this_thread::sleep_for(Milliseconds(1'100)); // the requests before have used up the log lines of their second
    std::string responses;
    CHECK(deployment.callWithKey(millKey + "x").status == 401);
    for (const std::string &value : {"Bearer " + millKey, "Basic " + millKey, millKey}) {
        for (const char *path : {"/a/1", "/open/1", "/none/"}) {
            HttpHeaders headers;
            headers.add("Authorization", value);
            absl::StrAppend(&responses, deployment.callProxy(0, path, headers).body);
        }
    }
    deployment.store.put("op", "config", configText(2, quoted(farmKey))); // refused: two accounts hold one key
    deployment.store.put("op", "config", configText(3, quoted(millKey) + ",7"));
    deployment.store.put("op", "config", configText(4, quoted(millKey) + ",[}"));
    CHECK(deployment.eventually([&] { return absl::StrContains(deployment.log(), "operator.row_refused"); }));
    CHECK(deployment.callWithKey(millKey).status == 200);
    CHECK_THAT(deployment.log(),
               Catch::Contains("key_missing") && Catch::Contains("key_unknown") && !Catch::Contains("k3y"));
    CHECK_THAT(deployment.metricsPage(), Catch::Contains("key_missing") && !Catch::Contains("k3y"));
    CHECK_THAT(responses, !Catch::Contains("k3y"));
}

// Guards against odd credentials that are accepted, forwarded or end the connection of a well-formed request.
TEST_CASE("odd credentials are refused", "[platform]")
{
    AccountsDeployment deployment;
    deployment.startServing();
    const std::string bearer = "Authorization: Bearer " + millKey;
    const auto statusLine = [&](const std::string &lines) {
        const RawConnection connection(deployment.callersPort());
        connection.write(
                absl::StrCat("GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Dandeliondock-Attempt-Id: x\r\n", lines, "\r\n\r\n"));
        return connection.readUntil("\r\n").substr(0, 12);
    };
    CHECK(statusLine(bearer) == "HTTP/1.1 200");
    CHECK(statusLine("AUTHORIZATION:bEARER   " + millKey + " \t") == "HTTP/1.1 200");
    for (const std::string &lines :
         {std::string("Authorization:"), std::string("Authorization: Bearer"), "Authorization: " + millKey,
          "Authorization: Bearer\t" + millKey, "Authorization: Basic " + millKey, bearer + "x", bearer + "," + millKey,
          "Authorization: Bearer " + std::string(8'000, 'k'), "Authorization: Bearer \xff\xfe\x80" + millKey,
          bearer + "\r\n" + bearer, bearer + "\r\nAuthorization: Bearer other", "Authorization: \r\n" + bearer,
          "Proxy-" + bearer}) {
        INFO(lines.substr(0, 100));
        CHECK(statusLine(lines) == "HTTP/1.1 401");
    }
    // A header with control characters is not valid HTTP and is refused as such; one above the limit of the
    // configuration is too large.
    for (const std::string &lines :
         {bearer + '\x01', bearer + std::string(1, '\0'), "Authorization: Bearer " + std::string(100'000, 'k')}) {
        INFO(lines.substr(0, 100));
        CHECK_THAT(statusLine(lines), Catch::StartsWith("HTTP/1.1 4"));
    }
    CHECK(statusLine(bearer) == "HTTP/1.1 200");
}

// Guards against refusals of the proxy itself of which nobody can tell what decided them: the configuration and its
// age, or the HTTP server.
TEST_CASE("the log and the metrics tell why the proxy itself refused a request", "[platform]")
{
    AccountsDeployment deployment;
    deployment.startServing();
    std::this_thread::sleep_for(Milliseconds(1'100)); // the requests before have used up the log lines of their second
    CHECK(deployment.callWithKey(millKey + "x").status == 401);
    CHECK(deployment.callProxy(0, "/none/").status == 404);
    const RawConnection connection(deployment.callersPort());
    connection.write("GET /a/k3y HTTP/9.9\r\n\r\n");
    CHECK_THAT(connection.readAll(), Catch::StartsWith("HTTP/1.1 400"));
    const std::string log = deployment.log();
    for (const char *reason : {"status=401 revision=1 confirmed_age_ms=", "status=404 revision=1 confirmed_age_ms="}) {
        const std::size_t found = log.find(reason);
        REQUIRE(found != std::string::npos);
        const std::string line = log.substr(found, log.find('\n', found) - found);
        CHECK_THAT(line, Catch::Matches(std::string(reason) + "[0-9]+ reason=(key_unknown|no_route)"));
    }
    CHECK_THAT(log, Catch::Contains("http.request_rejected listener=callers status=400 error=")
                            && Catch::Contains("earlier_requests=0") && !Catch::Contains("k3y"));
    CHECK_THAT(
            deployment.metricsPage(),
            Catch::Contains("client_errors_total{reason=\"no_route\",status=\"404\",revision=\"1\"} 1\n")
                    && Catch::Contains("client_errors_total{reason=\"key_unknown\",status=\"401\",revision=\"1\"} 1\n")
                    && Catch::Contains("http_rejections_total{reason=\"callers_400\"} 1\n"));
}

// Guards against a change of keys alone that does not take effect, and against keys that are lost with a configuration
// that is refused.
TEST_CASE("a configuration that differs in keys only takes effect", "[platform]")
{
    AccountsDeployment deployment;
    deployment.startServing();
    deployment.store.put("op", "config", configText(2, quoted("k3y-new")));
    for (const std::size_t proxy : {0U, 1U}) {
        CHECK(deployment.eventually([&] { return deployment.callWithKey("k3y-new", proxy).status == 200; }));
        CHECK(deployment.callWithKey(millKey, proxy).status == 401);
    }
    deployment.store.put("op", "config", configText(3, quoted(millKey) + "," + quoted(farmKey)));
    std::this_thread::sleep_for(Seconds(1));
    CHECK(deployment.callWithKey("k3y-new").status == 200);
    CHECK(deployment.callWithKey(millKey).status == 401);
}

// Guards against a withdrawn key that a proxy without contact to the store still accepts after the bound, or again
// after its restart.
TEST_CASE("a proxy that cannot reach the store refuses keys before the bound ends", "[platform]")
{
    AccountsDeployment deployment;
    deployment.startServing();
    FakeStoreFaults faults;
    faults.isUnresponsive = true;
    deployment.store.setFaults(faults);
    deployment.store.put("op", "config", configText(2, quoted("k3y-new")));
    const BootTime withdrawnAt = BootClock::now();
    BootTime servedAt = withdrawnAt;
    while (BootClock::now() - withdrawnAt < withdrawalBoundOfTests + Milliseconds(500)) {
        const BootTime calledAt = BootClock::now();
        const HttpResponse response = deployment.callWithKey(millKey);
        CHECK((response.status == 200 || response.status == 503));
        CHECK((response.status == 200 || response.headers.first("Retry-After").has_value()));
        if (response.status == 200)
            servedAt = calledAt;
        std::this_thread::sleep_for(Milliseconds(20));
    }
    CHECK(servedAt - withdrawnAt < withdrawalBoundOfTests);
    for (const std::size_t proxy : {0U, 1U})
        CHECK(deployment.callWithKey(millKey, proxy).status == 503);
    CHECK(deployment.callProxy(0, "/open/1").status == 200);
    CHECK_THAT(deployment.log(), Catch::Contains("event=keys.unconfirmed revoke_ms=5000"));
    CHECK_THAT(deployment.log(), Catch::Contains("reason=keys_unconfirmed"));
    CHECK_THAT(deployment.metricsPage(), Catch::Contains("keys_unconfirmed"));

    deployment.start(0);
    CHECK(deployment.callWithKey(millKey).status == 503);
    deployment.store.setFaults({});
    CHECK(deployment.eventually([&] { return deployment.callWithKey("k3y-new").status == 200; }));
    CHECK(deployment.eventually([&] { return deployment.callWithKey("k3y-new", 1).status == 200; }));
    CHECK(deployment.callWithKey(millKey).status == 401);
    CHECK_THAT(deployment.log(), Catch::Contains("event=keys.confirmed_again"));
}

// Guards against refusals during an interruption of the store that is shorter than 0.6 of the bound.
TEST_CASE("an interruption of the store of 0.6 of the bound refuses no key", "[platform]")
{
    AccountsDeployment deployment;
    deployment.startServing();
    std::this_thread::sleep_for(Milliseconds(1'500)); // the confirmation of a change is older than that of an idle poll
    // While the store responds, the regular polls confirm the configuration.
    CHECK_THAT(deployment.metricsPage(), !Catch::Contains("key_confirmation_probes_total"));
    FakeStoreFaults faults;
    faults.isUnresponsive = true;
    deployment.store.setFaults(faults);
    const BootTime interruptedAt = BootClock::now();
    int refused = 0;
    int requests = 0;
    while (BootClock::now() - interruptedAt < withdrawalBoundOfTests * 12 / 10) {
        for (const std::size_t proxy : {0U, 1U}) {
            ++requests;
            refused += deployment.callWithKey(millKey, proxy).status == 200 ? 0 : 1;
        }
        if (BootClock::now() - interruptedAt >= withdrawalBoundOfTests * 6 / 10
            && std::exchange(faults.isUnresponsive, false))
            deployment.store.setFaults(faults);
        std::this_thread::sleep_for(Milliseconds(20));
    }
    INFO(requests << " requests");
    CHECK(refused == 0);
    CHECK_THAT(deployment.metricsPage(), Catch::Contains("key_confirmation_probes_total"));
}

// Guards against a deployment that sets no bound and refuses keys when the store is out of reach.
TEST_CASE("without a bound keys are accepted however long the store is out of reach", "[platform]")
{
    AccountsDeployment deployment(std::nullopt);
    deployment.startServing();
    FakeStoreFaults faults;
    faults.refusesAll = true;
    deployment.store.setFaults(faults);
    std::this_thread::sleep_for(Seconds(1));
    CHECK(deployment.callWithKey(millKey).status == 200);
    CHECK(deployment.callWithKey("k3y-other").status == 401);
}

} // namespace dandeliondock::testing
