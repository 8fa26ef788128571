#include "support/child_process.h"
#include "support/fake_store.h"
#include "support/loop_thread.h"
#include "support/raw_socket.h"

#include <platform/adapter.h>

#include <dandeliondock/http/async_client.h>
#include <dandeliondock/proxy/proxy.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

namespace dandeliondock::testing {
namespace {

constexpr Seconds testTimeout{6};

std::string configText(int version, const std::string &prefix)
{
    return absl::StrCat(R"({"version":"r)", version, R"(","routes":{)", R"("lookup":{"host":"h","prefix":")", prefix,
                        R"(","kind":"safe","timeout_ms":2000,"priority":2,"service":"s","max_attempts":2},)",
                        R"("order":{"host":"h","prefix":"/order/","kind":"unsafe","timeout_ms":2000,"priority":1,)",
                        R"("service":"s","max_attempts":2},)",
                        R"("order-prices":{"host":"h","prefix":"/order/prices/","kind":"safe","timeout_ms":2000,)",
                        R"("priority":2,"service":"s","max_attempts":2},)",
                        R"("call":{"host":"h","prefix":"/call/","kind":"safe","timeout_ms":2000,"priority":2,)",
                        R"("service":"t","max_attempts":2}},"services":{"s":{"health_path":"/health",)",
                        R"("max_connections":130},"t":{"health_path":"/health","max_connections":130}},"limits":{}})");
}

/// A target that counts the requests that it executes and can inject faults.
class Target
{
public:
    Target() : m_port(freePort())
    {
        m_thread.run([this] {
            m_server = std::make_unique<AsyncHttpServer>(
                    m_thread.loop(), [this](const HttpRequestContextPtr &activeRequest) { run(activeRequest); });
            ConnectionLimits limits;
            limits.maxHeaderBytes = ByteCount(1'048'576);
            m_server->setLimits(limits);
            REQUIRE(m_server->listen(address()).ok());
        });
    }

    ~Target()
    {
        m_thread.run([this] {
            m_delayed.clear();
            m_server.reset();
            m_client.reset();
        });
    }

    [[nodiscard]] Address address() const { return Address(absl::StrCat("127.0.0.1:", m_port)); }

    std::atomic<int> runs{0};
    std::atomic<bool> losesResponses{false};    ///< closes the connection after executing a request
    std::atomic<bool> claimsNotExecuted{false}; ///< by a header of the proxies' own protocol
    std::atomic<std::size_t> bodySize{0};       ///< shortest body of a response
    std::atomic<Milliseconds> workTime{Milliseconds(0)};
    std::atomic<bool> fails{false}; ///< responds with status 500, unless callServiceThrough() was called

    /// From now on, calls another service through \c proxy before each response and fails when that call fails.
    void callServiceThrough(const Address &proxy)
    {
        m_thread.run([&] {
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            m_proxy = proxy;
        });
    }

private:
    void run(const HttpRequestContextPtr &activeRequest)
    {
        ++runs;
        if (losesResponses) {
            activeRequest->abort();
            return;
        }
        if (!m_client) {
            if (workTime.load() == Milliseconds(0))
                respond(activeRequest, fails ? 500 : 200);
            else
                m_delayed.push_back(m_thread.loop().after(
                        workTime.load(), [this, activeRequest] { respond(activeRequest, fails ? 500 : 200); }));
            return;
        }
        HttpRequest call{"GET", "/call/1", {}, {}};
        call.headers.add("Host", "h");
        call.headers.add("X-Dandeliondock-Attempt-Id", absl::StrCat("call", runs.load()));
        m_client->send(m_proxy, call, {EventLoop::now() + testTimeout},
                       [this, activeRequest](const AsyncCallResult &result) {
                           respond(activeRequest, result.response.status == 200 ? 200 : 500);
                       });
    }

    void respond(const HttpRequestContextPtr &activeRequest, int status)
    {
        HttpResponse response;
        response.status = status;
        const auto &headers = activeRequest->request().headers;
        response.headers.add("X-Dandeliondock-Attempt-Id", headers.first("X-Dandeliondock-Attempt-Id").value_or(""));
        response.headers.add("X-Dandeliondock-Server-Seal", "seal");
        if (claimsNotExecuted)
            response.headers.add("Dock-Outcome", "not_run");
        response.body = absl::StrCat(headers.first("X-Dandeliondock-Caller-Service").value_or("none"), " ",
                                     activeRequest->request().target);
        response.body.resize(std::max<std::size_t>(response.body.size(), bodySize), 'x');
        activeRequest->respond(std::move(response));
    }

    std::uint16_t m_port;
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::vector<LoopTimer> m_delayed;
    Address m_proxy;
};

/// A proxy with its target.
struct Instance
{
    Instance(const std::string &name, const Address &store, Milliseconds grace, DataRate responseRate)
    {
        const auto freeAddress = [] { return Address(absl::StrCat("127.0.0.1:", freePort())); };
        settings.node = NodeId(name);
        settings.region = RegionName("east");
        settings.dataCentre = DataCentreName("a");
        settings.callers = freeAddress();
        settings.inbound = freeAddress();
        settings.health = freeAddress();
        settings.announcements = freeAddress();
        settings.metrics = freeAddress();
        settings.target = target.address();
        settings.service = ServiceName("s");
        settings.store = store;
        settings.grace = grace;
        settings.responseRate = responseRate;
        start();
    }

    void start()
    {
        auto started = Proxy::start(settings, adapter, nullptr);
        REQUIRE(started.ok());
        proxy = *std::move(started);
    }

    void restart()
    {
        proxy.reset();
        start();
    }

    Target target;
    ProxySettings settings;
    PlatformAdapter adapter = platform::adapter();
    std::unique_ptr<Proxy> proxy;
};

/// Two instances, a fake of the platform's store, and a client.
class Deployment
{
public:
    explicit Deployment(Milliseconds grace = Milliseconds(1'500), DataRate responseRate = {})
        : first("one", store.address(), grace, responseRate), second("two", store.address(), grace, responseRate)
    {
        store.put("op", "config", configText(1, "/a/"));
        m_thread.run([this] { m_client = std::make_unique<AsyncHttpClient>(m_thread.loop()); });
    }

    ~Deployment()
    {
        m_thread.run([this] { m_client.reset(); });
    }

    HttpResponse call(const Address &address, HttpRequest request)
    {
        const auto result = std::make_shared<std::promise<AsyncCallResult>>();
        m_thread.run([&] {
            m_client->send(address, request, {EventLoop::now() + testTimeout, Microseconds{0}},
                           [result](AsyncCallResult callResult) { result->set_value(std::move(callResult)); });
        });
        AsyncCallResult callResult = result->get_future().get();
        if (!callResult.status.ok())
            callResult.response.status = 0;
        return std::move(callResult.response);
    }

    HttpResponse callProxy(const Instance &instance, const std::string &path, const std::string &method = "GET",
                           const HttpHeaders &headers = {})
    {
        HttpRequest request{method, path, headers, method == "GET" ? "" : "body"};
        request.headers.add("Host", "h");
        request.headers.add("X-Dandeliondock-Attempt-Id", absl::StrCat("id", ++m_ids));
        request.headers.add("X-Dandeliondock-Time-Budget", "2000");
        return call(instance.settings.callers, request);
    }

    int announce(const Instance &instance, const std::string &state, int sequence)
    {
        HttpRequest request{"POST", "/api/rpc?call=instances.heartbeat&of=" + instance.settings.node.value(), {}, {}};
        request.body = absl::StrCat(R"({"service":"s","address":")", instance.settings.target.value(),
                                    R"(","zone":"a","version":"v1","slots":4,"state":")", state,
                                    R"(","cold_remaining_ms":0,"sequence":)", sequence, R"(,"born":1000})");
        return call(instance.settings.announcements, request).status;
    }

    int leave(const Instance &instance)
    {
        const HttpRequest request{
                "POST", "/api/rpc?call=instances.leave&of=" + instance.settings.node.value(), {}, R"({"born":1000})"};
        return call(instance.settings.announcements, request).status;
    }

    /// Waits until \c condition holds; returns false if it does not within testTimeout.
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

    bool isReady(const Instance &instance)
    {
        return call(instance.settings.health, {"GET", "/api/readiness", {}, {}}).status == 200;
    }

    bool serves(const Instance &instance, const std::string &path = "/a/1")
    {
        return callProxy(instance, path).status == 200;
    }

    FakeStore store;
    Instance first;
    Instance second;

private:
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpClient> m_client;
    int m_ids = 0;
};

} // namespace

// Guards against forwarding that works only within one instance: here the target of the caller's proxy never announces
// itself.
TEST_CASE("a request reaches the target of another proxy until that target drains", "[platform]")
{
    Deployment deployment;
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 503);
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    CHECK(deployment.isReady(deployment.first));
    CHECK(deployment.callProxy(deployment.first, "/a/x%2Fy?q=1").body == "s /a/x%2Fy?q=1");
    CHECK(deployment.callProxy(deployment.first, "/none/").status == 404);
    REQUIRE(deployment.announce(deployment.second, "draining", 2) == 200);
    const int runs = deployment.second.target.runs;
    const HttpResponse refused = deployment.callProxy(deployment.first, "/a/1");
    CHECK(refused.status == 503);
    CHECK(refused.headers.first("Retry-After").has_value());
    CHECK(deployment.announce(deployment.second, "ready", 1) == 200); // delayed: older than the heartbeat before
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 503);
    CHECK(deployment.second.target.runs == runs);
}

// Guards against a proxy that was restarted and puts a target back into use whose departure it has acknowledged, when a
// delayed heartbeat arrives.
TEST_CASE("a target that left before its proxy was restarted is not used after a delayed heartbeat", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    REQUIRE(deployment.leave(deployment.second) == 200);
    deployment.second.restart();
    REQUIRE(deployment.eventually([&] { return deployment.isReady(deployment.second); }));
    const int runs = deployment.second.target.runs;
    CHECK(deployment.announce(deployment.second, "ready", 9) == 200);
    std::this_thread::sleep_for(Seconds(1));
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 503);
    CHECK(deployment.callProxy(deployment.second, "/a/1").status == 503);
    CHECK(deployment.second.target.runs == runs);
}

// Guards against a departure that is acknowledged by a proxy which keeps no note of it, because it was restarted and
// has not heard of the target yet.
TEST_CASE("a departure of a target that its proxy does not know is kept", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.eventually([&] { return deployment.isReady(deployment.second); }));
    REQUIRE(deployment.leave(deployment.second) == 200);
    CHECK(deployment.announce(deployment.second, "ready", 9) == 200);
    std::this_thread::sleep_for(Seconds(1));
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 503);
    CHECK(deployment.second.target.runs == 0);
}

// Guards against an acknowledgement that a restart of the proxy would make void: nothing would tell the next process.
TEST_CASE("a departure is acknowledged when it is recorded, and takes effect at once", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    FakeStoreFaults faults;
    faults.refusesAll = true;
    deployment.store.setFaults(faults);
    CHECK(deployment.announce(deployment.second, "draining", 2) == 503);
    const int runs = deployment.second.target.runs;
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 503);
    CHECK(deployment.second.target.runs == runs);
    deployment.store.setFaults({});
    CHECK(deployment.eventually([&] { return deployment.announce(deployment.second, "draining", 3) == 200; }));
}

// Guards against a target that is used although its draining was acknowledged, because another process has sent a
// heartbeat with a high sequence number in its name.
TEST_CASE("a target drains although another writer has sent heartbeats in its name", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    HttpRequest odd{"POST", "/api/rpc?call=instances.heartbeat&of=" + deployment.second.settings.node.value(), {}, {}};
    odd.body = absl::StrCat(R"({"service":"s","address":")", deployment.second.settings.target.value(),
                            R"(","version":"v1","slots":4,"state":"ready","sequence":1000,"born":1000})");
    CHECK(deployment.call(deployment.second.settings.announcements, odd).status == 400);
    REQUIRE(deployment.announce(deployment.second, "ready", 1'000) == 200);
    CHECK(deployment.announce(deployment.second, "draining", 2) == 200);
    const int runs = deployment.second.target.runs;
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 503);
    CHECK(deployment.callProxy(deployment.second, "/a/1").status == 503);
    CHECK(deployment.second.target.runs == runs);
}

// Guards against retries that multiply along a call chain: each retried execution repeats its own calls, which fail in
// the same way, so that the called targets receive more requests than the shared retry budget allows.
TEST_CASE("a request whose target failed is retried, unless it failed because its own call to another service failed",
          "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    for (Instance *instance : {&deployment.first, &deployment.second})
        REQUIRE(deployment.eventually([&] { return deployment.serves(*instance); }));
    const auto runs = [&] { return deployment.first.target.runs + deployment.second.target.runs; };
    deployment.first.target.fails = true;
    deployment.second.target.fails = true;
    int before = runs();
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 500);
    CHECK(runs() == before + 2);
    for (Instance *instance : {&deployment.first, &deployment.second})
        instance->target.callServiceThrough(instance->settings.callers);
    before = runs();
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 500);
    CHECK(runs() == before + 1);
}

// Guards against an order that is executed twice, or reported as not executed, when its response is lost.
TEST_CASE("a request whose response is lost is retried on another target only if it is idempotent", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.second); }));
    deployment.first.target.losesResponses = true;
    deployment.second.target.losesResponses = true;
    const int before = deployment.first.target.runs + deployment.second.target.runs;
    CHECK(deployment.callProxy(deployment.first, "/order/1", "POST").status == 502);
    CHECK(deployment.first.target.runs + deployment.second.target.runs == before + 1);
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 502);
    CHECK(deployment.first.target.runs + deployment.second.target.runs == before + 3);
}

// Guards against an order that is executed twice because its path, without a final slash, is taken for one of a nested
// idempotent route.
TEST_CASE("a request of a non-idempotent route is not retried by the rules of a route nested in it", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    for (Instance *instance : {&deployment.first, &deployment.second})
        REQUIRE(deployment.eventually([&] { return deployment.serves(*instance); }));
    deployment.first.target.losesResponses = true;
    deployment.second.target.losesResponses = true;
    const int before = deployment.first.target.runs + deployment.second.target.runs;
    CHECK(deployment.callProxy(deployment.first, "/order/prices", "POST").status == 502);
    CHECK(deployment.first.target.runs + deployment.second.target.runs == before + 1);
    CHECK(deployment.callProxy(deployment.first, "/order/prices/", "POST").status == 502);
    CHECK(deployment.first.target.runs + deployment.second.target.runs == before + 3);
}

// Guards against lookups that wait for each other on their caller's connection, and against orders that do not.
TEST_CASE("pipelined requests of an idempotent route run at once, those of another route one after the other",
          "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    deployment.second.target.workTime = Milliseconds(300);
    const std::string &address = deployment.first.settings.callers.value();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    const auto runsAtFirstResponse = [&](const std::string &prefix) {
        const int before = deployment.second.target.runs;
        RawConnection caller(port);
        std::string requests;
        for (int index = 1; index <= 3; ++index)
            requests +=
                    absl::StrCat("GET ", prefix, index, " HTTP/1.1\r\nHost: h\r\nX-Dandeliondock-Attempt-Id: ", prefix,
                                 index, "\r\nX-Dandeliondock-Time-Budget: 2000\r\n\r\n");
        caller.write(requests);
        std::string received = caller.readUntil(absl::StrCat("s ", prefix, 1));
        const int runs = deployment.second.target.runs - before;
        if (received.find(absl::StrCat("s ", prefix, 3)) == std::string::npos)
            received += caller.readUntil(absl::StrCat("s ", prefix, 3));
        CHECK(received.find(absl::StrCat("s ", prefix, 1)) < received.find(absl::StrCat("s ", prefix, 2)));
        CHECK(received.find(absl::StrCat("s ", prefix, 2)) < received.find(absl::StrCat("s ", prefix, 3)));
        CHECK_THAT(received, Catch::EndsWith(absl::StrCat("s ", prefix, 3)));
        return runs;
    };
    CHECK(runsAtFirstResponse("/a/") == 3);
    CHECK(runsAtFirstResponse("/order/") <= 2);
}

// Guards against an order that is reported as not executed, or that is sent to another target, because a caller or a
// target sends headers of the proxies' own protocol.
TEST_CASE("headers of the proxies' own protocol are ignored when a caller or a target sends them", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    deployment.second.target.claimsNotExecuted = true;
    const int before = deployment.second.target.runs;
    CHECK(deployment.callProxy(deployment.first, "/order/1", "POST").status == 200);
    HttpHeaders forged;
    forged.add("Dock-Target", "other");
    forged.add("Dock-Terms", "0,1,1,1");
    CHECK(deployment.callProxy(deployment.first, "/order/2", "POST", forged).status == 200);
    CHECK(deployment.second.target.runs == before + 2);
}

// Guards against a caller's request that is read as a message between proxies because of its path or its headers.
TEST_CASE("requests of callers are not taken for messages between proxies", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    deployment.store.put("op", "config", configText(2, "/dock/"));
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first, "/dock/1"); }));
    for (const char *path : {"/dock/table", "/dock/outcomes", "/dock/quota-report", "/dock/quota-sums"}) {
        CAPTURE(path);
        CHECK(deployment.callProxy(deployment.first, path).status == 200);
    }
    for (const char *kind : {"table", "outcomes", "quota_report", "quota_sums", "unknown"}) {
        CAPTURE(kind);
        HttpHeaders forged;
        forged.add("Dock-Message", kind);
        forged.add("dock-message", kind);
        forged.add("Connection", "Dock-Target, Dock-Terms");
        const int before = deployment.second.target.runs;
        CHECK(deployment.callProxy(deployment.first, "/order/1", "POST", forged).status == 200);
        CHECK(deployment.second.target.runs == before + 1);
    }
}

// Guards against a configuration that reaches only some proxies, that is replaced by an older one, or that is lost when
// the store is unavailable.
TEST_CASE("a configuration takes effect on all proxies, never reverts, and survives a store outage", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.second); }));
    deployment.store.put("op", "config", configText(5, "/b/"));
    for (Instance *instance : {&deployment.first, &deployment.second})
        CHECK(deployment.eventually([&] { return deployment.serves(*instance, "/b/1"); }));
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 404);
    deployment.store.put("op", "config", configText(4, "/a/"));
    deployment.store.put("op", "config", "{\"version\":\"r9\",\"routes\":{\"broken\":{}}}");
    std::this_thread::sleep_for(Milliseconds(600));
    CHECK(deployment.serves(deployment.second, "/b/1"));
    CHECK(deployment.callProxy(deployment.second, "/a/1").status == 404);
    FakeStoreFaults faults;
    faults.refusesAll = true;
    deployment.store.setFaults(faults);
    std::this_thread::sleep_for(Milliseconds(1'500));
    CHECK(deployment.serves(deployment.second, "/b/1"));
    CHECK(deployment.isReady(deployment.second));
    deployment.store.setFaults({});
    deployment.store.put("op", "config", configText(12, "/c/"));
    for (Instance *instance : {&deployment.first, &deployment.second})
        CHECK(deployment.eventually([&] { return deployment.serves(*instance, "/c/1"); }));
}

// Guards against limits of an older configuration, which the table holds again after its return from an older copy,
// beside the routes of a newer one.
TEST_CASE("the limits of an older configuration do not come into force", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    deployment.store.put("op", "config", configText(5, "/b/"));
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first, "/b/1"); }));
    std::string older = configText(4, "/a/");
    older.replace(older.find("\"limits\":{}"), 11, R"("limits":{"max_body_bytes":2})");
    deployment.store.put("op", "config", older);
    std::this_thread::sleep_for(Seconds(1));
    CHECK(deployment.callProxy(deployment.first, "/order/1", "POST").status == 200);
}

// Guards against proper requests that the proxy of their target refuses because of limits of its own: the configuration
// bounds the head that callers send, and the caller's proxy adds headers, one of which repeats the id.
TEST_CASE("a request with the longest permitted head reaches the target of another proxy", "[platform]")
{
    constexpr std::size_t headLimit = 100'000;
    Deployment deployment;
    std::string config = configText(2, "/a/");
    config.replace(config.find("\"limits\":{}"), 11, absl::StrCat(R"("limits":{"max_header_bytes":)", headLimit, "}"));
    deployment.store.put("op", "config", config);
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    const std::string &callers = deployment.first.settings.callers.value();
    const auto port = static_cast<std::uint16_t>(std::stoi(callers.substr(callers.rfind(':') + 1)));
    const auto statusOf = [&](std::size_t idLength, std::size_t headLength) {
        std::string head = absl::StrCat(
                "GET /a/1 HTTP/1.1\r\nHost:h\r\nX-Dandeliondock-Attempt-Id:", std::string(idLength, 'i'), "\r\n");
        while (head.size() + 8'000 < headLength)
            absl::StrAppend(&head, "Y:", std::string(4'000, 'y'), "\r\n");
        absl::StrAppend(&head, "X:", std::string(headLength - head.size() - 6, 'x'), "\r\n\r\n");
        const RawConnection connection(port);
        connection.write(head);
        return connection.readUntil("\r\n").substr(0, 12);
    };
    CHECK(statusOf(8, 16'000) == "HTTP/1.1 200");
    CHECK(statusOf(8, 16'384) == "HTTP/1.1 200");
    CHECK(statusOf(20'000, 40'000) == "HTTP/1.1 200");
    CHECK(statusOf(8, headLimit) == "HTTP/1.1 200");
    CHECK(statusOf(8, headLimit + 200) == "HTTP/1.1 431");
}

// Guards against proper requests in an unusual form that the proxy itself refuses.
TEST_CASE("proper requests in unusual forms reach a target", "[platform]")
{
    Deployment deployment;
    std::string config = configText(2, "/a/");
    config.replace(config.find("\"limits\":{}"), 11, R"("limits":{"max_body_bytes":1000})");
    deployment.store.put("op", "config", config);
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    const std::string &callers = deployment.first.settings.callers.value();
    const auto port = static_cast<std::uint16_t>(std::stoi(callers.substr(callers.rfind(':') + 1)));
    const std::string id = "X-Dandeliondock-Attempt-Id: x\r\n";
    const auto responseTo = [&](const std::string &request) {
        const RawConnection connection(port);
        connection.write(request);
        return connection.readUntil("\r\n").substr(0, 12);
    };
    const auto get = [&](const std::string &target, const std::string &host) {
        return absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: ", host, "\r\n", id, "\r\n");
    };
    const auto post = [&](const std::string &framing, const std::string &body) {
        return absl::StrCat("POST /order/1 HTTP/1.1\r\nHost: h\r\n", id, framing, "\r\n\r\n", body);
    };
    std::string smallChunks;
    for (int byte = 0; byte < 1'000; ++byte)
        smallChunks += "1;x=y\r\nb\r\n";
    const std::string body(1'000, 'b');
    const std::string requests[] = {
            get("/a/1", "h:80"),
            get("/a/1", "H"),
            get("/a/1", "h:"),
            get("/a/", "h"),
            get("/a/1?", "h"),
            get("/a/?a=/b/../c&d=%00?", "h"),
            get("/a/%2e%2E/%2f%C3%A4+;x=1,@:!$&'()*", "h"),
            get("/a/../a//1", "h"),
            get("http://h/a/1", "h"),
            get("http://H:80/a/1?x", "h:80"),
            absl::StrCat("GET /a/1 HTTP/1.1\r\nhOsT:h\r\nx-dandeliondock-ATTEMPT-id:\t x \t\r\n\r\n"),
            post("CONTENT-length: 1000", body),
            post("Content-Length: 0", ""),
            post("transfer-encoding: Chunked", "3e8\r\n" + body + "\r\n0\r\n\r\n"),
            post("Transfer-Encoding: chunked", "0003E8 ; a=\"b;c\"\r\n" + body + "\r\n000\r\nX-T: y\r\n\r\n"),
            post("Transfer-Encoding: chunked", smallChunks + "0\r\n\r\n"),
            post("Expect: 100-Continue\r\nContent-Length: 0", ""),
    };
    for (const std::string &request : requests) {
        INFO(request.substr(0, 200));
        CHECK(responseTo(request) == "HTTP/1.1 200");
    }
    CHECK(responseTo(post("Content-Length: 1001", body + "b")) == "HTTP/1.1 413");
    CHECK(responseTo(get("/none/", "h")) == "HTTP/1.1 404");
}

// Guards against changes that are missed when the store has dropped its history of changes.
TEST_CASE("a change that the store has dropped from its history is found by a full read of the table", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.second); }));
    FakeStoreFaults faults;
    faults.hasNoHistory = true;
    deployment.store.setFaults(faults);
    deployment.store.put("op", "config", configText(7, "/d/"));
    CHECK(deployment.eventually([&] { return deployment.serves(deployment.second, "/d/1"); }));
}

// Guards against a configuration that no proxy applies because the store has come back from an older copy, gives out
// the lost versions again and numbers the configuration lower than what the proxies have read.
TEST_CASE("a configuration written after the store came back from an older copy takes effect", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.second); }));
    deployment.store.takeCopy();
    for (int lost = 0; lost < 20; ++lost)
        deployment.store.put("another", "row", std::to_string(lost));
    deployment.store.put("op", "config", configText(3, "/b/"));
    for (Instance *instance : {&deployment.first, &deployment.second})
        REQUIRE(deployment.eventually([&] { return deployment.serves(*instance, "/b/1"); }));
    deployment.store.returnFromCopy({"op"});
    std::this_thread::sleep_for(Seconds(1));
    deployment.store.put("op", "config", configText(5, "/c/"));
    for (Instance *instance : {&deployment.first, &deployment.second}) {
        CHECK(deployment.eventually([&] { return deployment.serves(*instance, "/c/1"); }));
        CHECK(deployment.callProxy(*instance, "/b/1").status == 404);
    }
}

// Guards against changes that are read with the versions of another era: the store has come back from an older copy and
// has given out more versions again than were lost, so that no call for changes fails.
TEST_CASE("rows that changed while lost versions were given out again are read", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.second); }));
    deployment.store.takeCopy();
    for (int lost = 0; lost < 5; ++lost)
        deployment.store.put("another", "row", std::to_string(lost));
    std::this_thread::sleep_for(Seconds(1)); // the proxies know the lost versions
    deployment.store.putUnseen("op", "config", configText(5, "/c/"));
    deployment.store.returnFromCopy({"op"}, 20);
    for (Instance *instance : {&deployment.first, &deployment.second})
        CHECK(deployment.eventually([&] { return deployment.serves(*instance, "/c/1"); }));
}

// Guards against targets that no other proxy knows because the store has lost their rows, and against a departure that
// is forgotten although it was acknowledged.
TEST_CASE("the rows of targets are written again after the store came back from an older copy", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.second); }));
    deployment.store.takeCopy();
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    const std::string secondKey = "target/" + deployment.second.settings.inbound.value();
    REQUIRE(deployment.eventually([&] { return !deployment.store.value("dandeliondock", secondKey).empty(); }));
    REQUIRE(deployment.announce(deployment.first, "draining", 2) == 200);
    REQUIRE(deployment.eventually(
            [&] { return deployment.second.target.runs > 0 || deployment.serves(deployment.first); }));
    const std::string firstKey = "target/" + deployment.first.settings.inbound.value();
    const std::string drainingRow = deployment.store.value("dandeliondock", firstKey);
    const int runsOfFirst = deployment.first.target.runs;
    deployment.store.returnFromCopy({"op"});
    CHECK(deployment.eventually([&] { return !deployment.store.value("dandeliondock", secondKey).empty(); }));
    CHECK(deployment.eventually([&] { return deployment.store.value("dandeliondock", firstKey) == drainingRow; }));
    for (Instance *instance : {&deployment.first, &deployment.second})
        CHECK(deployment.eventually([&] { return deployment.serves(*instance); }));
    CHECK(deployment.first.target.runs == runsOfFirst);
}

// Guards against a missing row of the local target when the response to its write is lost.
TEST_CASE("the row of the local target is written although responses are lost, and is written again after its removal",
          "[platform]")
{
    Deployment deployment;
    FakeStoreFaults faults;
    faults.losesWriteResponses = true;
    deployment.store.setFaults(faults);
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.second); }));
    deployment.store.setFaults({});
    const std::string key = "target/" + deployment.first.settings.inbound.value();
    REQUIRE(deployment.eventually([&] { return !deployment.store.value("dandeliondock", key).empty(); }));
    std::this_thread::sleep_for(Seconds(1));
    deployment.store.remove("dandeliondock", key);
    CHECK(deployment.eventually([&] { return !deployment.store.value("dandeliondock", key).empty(); }));
}

// Guards against a proxy that stops while callers and other proxies still send requests to it.
TEST_CASE("a proxy that stops is not ready at once and refuses work for its target", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    // A proxy without a configuration is not ready either.
    REQUIRE(deployment.eventually([&] { return deployment.isReady(deployment.second); }));
    auto stopped = std::async(std::launch::async, [&] { deployment.second.proxy->stop(); });
    CHECK(deployment.eventually([&] { return !deployment.isReady(deployment.second); }));
    CHECK(deployment.callProxy(deployment.first, "/a/1").status == 503);
    CHECK(stopped.wait_for(testTimeout) == std::future_status::ready);
}

// Guards against an odd entry of another writer that ends the proxies which read it, or after which they no longer
// follow the table.
TEST_CASE("odd rows of another writer cost nothing but themselves", "[platform]")
{
    Deployment deployment;
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    const std::string nested(100'000, '[');
    for (const char *address : {"10.0.0.9:70000", "10.0.0.9:0", "none", ""})
        deployment.store.put("dandeliondock", absl::StrCat("target/", address), nested);
    deployment.store.put("dandeliondock", "service/", std::string("\xff\xfe\0", 3));
    deployment.store.put("dandeliondock", std::string(200, 'k'), nested);
    deployment.store.put("op", "rollout/s", R"({"service":"s","target":"v2","duration_s":1e300})");
    deployment.store.put("op", "rollout/t", nested);
    deployment.store.put("op", "config", nested + R"({"version":"r99999999999999999999999"})");
    deployment.store.put("op", "config", configText(7, "/d/"));
    for (Instance *instance : {&deployment.first, &deployment.second})
        CHECK(deployment.eventually([&] { return deployment.serves(*instance, "/d/1"); }));
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.announce(deployment.second, "draining", 2) == 200);
    CHECK(deployment.eventually([&] { return deployment.serves(deployment.second, "/d/1"); }));
}

// Guards against a request that comes late in a planned stop, is passed on and is cut off without a response when the
// grace time ends, although it may not be repeated.
TEST_CASE("a stopping proxy refuses late requests that may outlast its grace time", "[platform]")
{
    constexpr Milliseconds grace{4'500};
    constexpr Milliseconds busyTime{1'400};
    Deployment deployment(grace);
    REQUIRE(deployment.announce(deployment.second, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    const std::string callers = deployment.first.settings.callers.value();
    const auto port = static_cast<std::uint16_t>(std::stoi(callers.substr(callers.rfind(':') + 1)));
    const RawConnection busyRequest(port); // keeps the proxy from stopping early
    const RawConnection longRequest(port);
    const RawConnection shortRequest(port);
    const auto begin = [](const RawConnection &connection, const std::string &id, int budget) {
        connection.write(absl::StrCat("POST /order/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n",
                                      "X-Dandeliondock-Attempt-Id: ", id, "\r\nX-Dandeliondock-Time-Budget: ", budget,
                                      "\r\n"));
    };
    Target &target = deployment.second.target;
    auto stopped = std::async(std::launch::async, [&] { deployment.first.proxy->stop(); });
    std::this_thread::sleep_for(Milliseconds(2'500));
    target.workTime = busyTime;
    begin(busyRequest, "busy", 2'000);
    begin(longRequest, "long", 2'000);
    begin(shortRequest, "short", 300);
    busyRequest.write("\r\n");
    std::this_thread::sleep_for(Milliseconds(900)); // the time in which callers learn of the stop is over
    target.workTime = Milliseconds(0);
    shortRequest.write("\r\n");
    CHECK_THAT(shortRequest.readUntil("\r\n\r\n"), Catch::Contains("200 OK"));
    target.workTime = busyTime;
    const int runs = target.runs;
    longRequest.write("\r\n");
    const std::string refused = longRequest.readUntil("\r\n\r\n");
    CHECK_THAT(refused, Catch::Contains("503 "));
    CHECK_THAT(refused, Catch::Contains("Retry-After"));
    CHECK(target.runs == runs);
    CHECK_THAT(busyRequest.readUntil("\r\n\r\n"), Catch::Contains("200 OK"));
    CHECK(stopped.wait_for(testTimeout) == std::future_status::ready);
}

// Guards against a planned stop that cuts off a download which its caller's link needs seconds for.
TEST_CASE("a download that is being delivered when its proxy is stopped arrives completely", "[platform]")
{
    constexpr std::size_t downloadSize = 4'000'000;
    Deployment deployment(Milliseconds(8'000), DataRate(1'000'000));
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(deployment.eventually([&] { return deployment.serves(deployment.first); }));
    deployment.first.target.bodySize = downloadSize;
    const std::string callers = deployment.first.settings.callers.value();
    RawConnection caller(static_cast<std::uint16_t>(std::stoi(callers.substr(callers.rfind(':') + 1))));
    caller.write("GET /a/big HTTP/1.1\r\nHost: h\r\nX-Dandeliondock-Attempt-Id: big\r\n\r\n");
    const std::string begin = caller.readUntil("\r\n\r\n");
    REQUIRE_THAT(begin, Catch::Contains("200 OK"));
    auto stopped = std::async(std::launch::async, [&] { deployment.first.proxy->stop(); });
    CHECK((begin + caller.readAll()).size() > downloadSize);
    CHECK(stopped.wait_for(testTimeout) == std::future_status::ready);
}

namespace {

using ReadDocument = std::function<absl::StatusOr<OperatorDocument>(const TableRow &, StoreEra)>;

/// Adds the account "mill", with a quota of 0.1 requests per second, to the configurations that \c read returns.
ReadDocument withAccount(ReadDocument read)
{
    return [read = std::move(read)](const TableRow &row, StoreEra era) {
        auto document = read(row, era);
        if (!document.ok() || !std::holds_alternative<ProxyConfigPtr>(*document))
            return document;
        const ProxyConfigPtr &config = std::get<ProxyConfigPtr>(*document);
        ClientAccount account;
        account.name = AccountName("mill");
        account.keys.emplace_back("key");
        account.quota = {RequestRate(0.1), RequestAmount(2)};
        auto accounts = AccountDirectory::create({account});
        REQUIRE(accounts.ok());
        document = std::make_shared<const ProxyConfig>(config->state, config->limits, *std::move(accounts));
        return document;
    };
}

} // namespace

// Guards against requests over the quota that reach a target, and against refused requests that use up the quota.
TEST_CASE("a caller over its quota gets 429 with Retry-After, and requests that were not run return their quota",
          "[platform]")
{
    Deployment deployment;
    deployment.first.adapter.documents.read = withAccount(deployment.first.adapter.documents.read);
    deployment.first.restart();
    HttpHeaders headers;
    headers.add("Authorization", "Bearer key");
    REQUIRE(Deployment::eventually([&] { return deployment.isReady(deployment.first); }));
    const auto status = [&] { return deployment.callProxy(deployment.first, "/a/1", "GET", headers).status; };
    // No target has announced itself: the requests are refused with 503 and return their quota, far more often than
    // the quota and its slack allow.
    for (int request = 0; request < 60; ++request)
        REQUIRE(status() == 503);
    REQUIRE(deployment.announce(deployment.first, "ready", 1) == 200);
    REQUIRE(Deployment::eventually([&] { return status() == 200; }));
    REQUIRE(Deployment::eventually([&] { return status() == 429; }));
    const int runs = deployment.first.target.runs;
    // (0.1 x 5 s + 2) x 1.1 + 20
    CHECK(runs <= 22);
    const HttpResponse refused = deployment.callProxy(deployment.first, "/a/1", "GET", headers);
    CHECK(refused.status == 429);
    CHECK(refused.headers.first("Retry-After").has_value());
    CHECK(deployment.first.target.runs == runs);
}

} // namespace dandeliondock::testing
