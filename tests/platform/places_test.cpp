#include "support/child_process.h"
#include "support/fake_store.h"
#include "support/loop_thread.h"

#include <platform/adapter.h>

#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/proxy.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

constexpr Seconds testTimeout{6};
const std::string evacuationRow = "evacuate/w1";

std::string configText()
{
    return R"({"version":"r1","routes":{)"
           R"("any":{"host":"h","prefix":"/any/","kind":"safe","timeout_ms":2000,"priority":2,"service":"s",)"
           R"("max_attempts":2},)"
           R"("west":{"host":"h","prefix":"/west/","kind":"unsafe","timeout_ms":2000,"priority":1,"service":"s",)"
           R"("max_attempts":2,"allowed_regions":["west"]}},)"
           R"("services":{"s":{"health_path":"/health","max_connections":130,"cold_start_s":4,"cold_per_s":2}},)"
           R"("limits":{}})";
}

Address freeAddress()
{
    return Address(absl::StrCat("127.0.0.1:", freePort()));
}

/// A target that counts its requests and reports on its health path for how long it stays cold.
class Target
{
public:
    Target()
    {
        m_thread.run([this] {
            m_server = std::make_unique<AsyncHttpServer>(
                    m_thread.loop(), [this](const HttpRequestContextPtr &context) { handle(context); });
            REQUIRE(m_server->listen(address).ok());
        });
    }

    ~Target()
    {
        m_thread.run([this] { m_server.reset(); });
    }

    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    const Address address = freeAddress();
    std::atomic<int> runs{0};
    std::atomic<Milliseconds> coldRemaining{Milliseconds(0)};

private:
    void handle(const HttpRequestContextPtr &context)
    {
        HttpResponse response;
        response.status = 200;
        if (context->request().target == "/health") {
            response.headers.add("X-Dandeliondock-Cold-Ms", absl::StrCat(coldRemaining.load().count()));
        } else {
            ++runs;
            response.headers.add("X-Dandeliondock-Attempt-Id",
                                 context->request().headers.first("X-Dandeliondock-Attempt-Id").value_or(""));
            response.headers.add("X-Dandeliondock-Server-Seal", "seal");
        }
        context->respond(std::move(response));
    }

    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
};

/// A proxy with its target.
struct Instance
{
    Instance(const std::string &region, const std::string &dataCentre, const Address &store)
    {
        settings.node = NodeId(dataCentre);
        settings.region = RegionName(region);
        settings.dataCentre = DataCentreName(dataCentre);
        settings.callers = freeAddress();
        settings.inbound = freeAddress();
        settings.health = freeAddress();
        settings.announcements = freeAddress();
        settings.metrics = freeAddress();
        settings.target = target.address;
        settings.service = ServiceName("s");
        settings.store = store;
        settings.grace = Milliseconds(1'500);
        auto started = Proxy::start(settings, platform::adapter(), nullptr);
        REQUIRE(started.ok());
        proxy = *std::move(started);
    }

    Target target;
    ProxySettings settings;
    std::unique_ptr<Proxy> proxy;
};

/// An instance in each of two regions, a fake of the platform's store, and a client.
class Deployment
{
public:
    Deployment() : east("east", "e1", store.address()), west("west", "w1", store.address())
    {
        m_thread.run([this] { m_client = std::make_unique<AsyncHttpClient>(m_thread.loop()); });
        store.put("op", "config", configText());
    }

    ~Deployment()
    {
        m_thread.run([this] { m_client.reset(); });
    }

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Sends requests at the same time and returns their responses; the status is 0 without a response.
    std::vector<HttpResponse> send(const Address &address, const std::vector<HttpRequest> &requests)
    {
        std::vector<std::promise<AsyncCallResult>> results(requests.size());
        m_thread.run([&] {
            for (std::size_t index = 0; index < requests.size(); ++index) {
                m_client->send(
                        address, requests[index], {EventLoop::now() + testTimeout, Microseconds{0}},
                        [&results, index](AsyncCallResult result) { results[index].set_value(std::move(result)); });
            }
        });
        std::vector<HttpResponse> responses;
        for (std::promise<AsyncCallResult> &result : results) {
            AsyncCallResult callResult = result.get_future().get();
            responses.push_back(callResult.status.ok() ? std::move(callResult.response) : HttpResponse());
            if (!callResult.status.ok())
                responses.back().status = 0;
        }
        return responses;
    }

    std::vector<HttpResponse> call(const Instance &instance, const std::string &path, int count = 1)
    {
        std::vector<HttpRequest> requests;
        for (int index = 0; index < count; ++index) {
            HttpRequest request{"GET", path, {}, {}};
            request.headers.add("Host", "h");
            request.headers.add("X-Dandeliondock-Attempt-Id", absl::StrCat("id", ++m_ids));
            request.headers.add("X-Dandeliondock-Time-Budget", "2000");
            requests.push_back(std::move(request));
        }
        return send(instance.settings.callers, requests);
    }

    int status(const Instance &instance, const std::string &path) { return call(instance, path).front().status; }

    bool isReady(const Instance &instance)
    {
        return send(instance.settings.health, {{"GET", "/api/readiness", {}, {}}}).front().status == 200;
    }

    int announce(const Instance &instance, Milliseconds coldRemaining)
    {
        HttpRequest request{"POST", "/api/rpc?call=instances.heartbeat&of=" + instance.settings.node.value(), {}, {}};
        request.body = absl::StrCat(R"({"service":"s","address":")", instance.settings.target.value(), R"(","zone":")",
                                    instance.settings.dataCentre.value(),
                                    R"(","version":"v1","slots":4,"state":"ready","cold_remaining_ms":)",
                                    coldRemaining.count(), R"(,"sequence":)", ++m_sequence, R"(,"born":1000})");
        return send(instance.settings.announcements, {request}).front().status;
    }

    static bool eventually(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            std::this_thread::sleep_for(Milliseconds(50));
        }
        return false;
    }

    FakeStore store;
    Instance east;
    Instance west;

private:
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpClient> m_client;
    int m_ids = 0;
    int m_sequence = 0;
};

} // namespace

// Guards against a restricted request that is served outside its region because the near target is free, or because its
// own region is evacuated, and against an evacuation that outlasts its row.
TEST_CASE("a restricted route is served in its region only, and not while that is evacuated", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.east, Milliseconds(0)) == 200);
    REQUIRE(deployment.announce(deployment.west, Milliseconds(0)) == 200);
    REQUIRE(Deployment::eventually([&] { return deployment.isReady(deployment.west); }));
    REQUIRE(Deployment::eventually([&] { return deployment.status(deployment.east, "/west/1") == 200; }));
    REQUIRE(Deployment::eventually([&] { return deployment.status(deployment.east, "/any/1") == 200; }));
    CHECK(deployment.east.target.runs > 0);
    const int runsInEast = deployment.east.target.runs;
    deployment.store.put("op", evacuationRow, "{}");
    REQUIRE(Deployment::eventually([&] { return deployment.status(deployment.east, "/west/1") == 503; }));
    REQUIRE(Deployment::eventually([&] { return deployment.status(deployment.west, "/west/1") == 503; }));
    const int runsInWest = deployment.west.target.runs;
    const HttpResponse refused = deployment.call(deployment.east, "/west/1").front();
    CHECK(refused.status == 503);
    CHECK(refused.headers.first("Retry-After").has_value());
    CHECK(deployment.status(deployment.west, "/any/1") == 200);
    CHECK(deployment.west.target.runs == runsInWest);
    CHECK(deployment.east.target.runs == runsInEast + 1);
    deployment.store.remove("op", evacuationRow);
    CHECK(Deployment::eventually([&] { return deployment.status(deployment.east, "/west/1") == 200; }));
    CHECK(deployment.west.target.runs > runsInWest);
    CHECK(deployment.east.target.runs == runsInEast + 1);
}

// Guards against a cold target that is flooded by its own proxy or another one, and against one that stays limited.
TEST_CASE("a cold target runs no more requests than the bound, and all after it is warm", "[platform]")
{
    Deployment deployment;
    deployment.west.target.coldRemaining = Milliseconds(20'000);
    REQUIRE(deployment.announce(deployment.west, Milliseconds(20'000)) == 200);
    REQUIRE(Deployment::eventually([&] { return deployment.isReady(deployment.west); }));
    REQUIRE(Deployment::eventually([&] { return deployment.status(deployment.east, "/any/1") == 200; }));
    const auto startedAt = std::chrono::steady_clock::now();
    const int runsBefore = deployment.west.target.runs;
    for (int round = 0; round < 20; ++round) {
        for (const Instance *instance : {&deployment.east, &deployment.west}) {
            for (const HttpResponse &response : deployment.call(*instance, "/any/1", 10))
                CHECK((response.status == 200 || response.status == 503));
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    const int runs = deployment.west.target.runs - runsBefore;
    CHECK(runs <= 2 * seconds + 4 + 1); // rate, burst, and a token that was there in part
    CHECK(runs > 0);
    deployment.west.target.coldRemaining = Milliseconds(0);
    REQUIRE(Deployment::eventually([&] {
        deployment.announce(deployment.west, Milliseconds(0));
        const auto responses = deployment.call(deployment.west, "/any/1", 12);
        return std::all_of(responses.begin(), responses.end(),
                           [](const HttpResponse &response) { return response.status == 200; });
    }));
}

} // namespace dandeliondock::testing
