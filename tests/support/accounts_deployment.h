#pragma once

#include "support/child_process.h"
#include "support/fake_store.h"
#include "support/loop_thread.h"

#include <platform/adapter.h>

#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/proxy.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace dandeliondock::testing {

/// \brief Time in which a deployment must do what a test waits for.
inline constexpr Seconds accountsTestTimeout{6};
/// \brief Bound of the deployment for withdrawn keys, unless a test sets another one.
inline constexpr Milliseconds withdrawalBoundOfTests{5'000};
inline const std::string millKey = "k3y-of-mill";
inline const std::string farmKey = "k3y-of-farm";

/// \brief Returns a configuration in which \c millKeys are the keys of the account "mill".
/// \param routes further routes, each followed by a comma.
inline std::string configText(int version, const std::string &millKeys, const std::string &routes = {},
                              const std::string &limits = "{}")
{
    return absl::StrCat(
            R"({"version":"r)", version, R"(","routes":{)", routes,
            R"("keyed":{"host":"h","prefix":"/a/","kind":"safe","timeout_ms":2000,"priority":2,"service":"s"},)"
            R"("open":{"host":"h","prefix":"/open/","kind":"safe","timeout_ms":2000,"priority":2,"service":"s",)"
            R"("auth_exempt":true}},"services":{"s":{"health_path":"/health","max_connections":130}},"limits":)",
            limits, R"(,"tenants":{"mill":{"api_keys":[)", millKeys, R"(],"priority":0},"farm":{"api_keys":[")",
            farmKey, R"("]}}})");
}

inline std::string quoted(const std::string &text)
{
    return absl::StrCat("\"", text, "\"");
}

/// \brief A target that responds with the headers of each request.
class EchoTarget
{
public:
    EchoTarget() : address(absl::StrCat("127.0.0.1:", freePort()))
    {
        m_thread.run([this] {
            m_server = std::make_unique<AsyncHttpServer>(m_thread.loop(), [](const HttpRequestContextPtr &context) {
                HttpResponse response;
                const auto &headers = context->request().headers;
                response.headers.add("X-Dandeliondock-Attempt-Id",
                                     headers.first("X-Dandeliondock-Attempt-Id").value_or(""));
                response.headers.add("X-Dandeliondock-Server-Seal", "seal");
                for (const HttpHeader &line : headers.lines())
                    absl::StrAppend(&response.body, line.name, ": ", line.value, "\n");
                context->respond(std::move(response));
            });
            REQUIRE(m_server->listen(address).ok());
        });
    }

    ~EchoTarget()
    {
        m_thread.run([this] { m_server.reset(); });
    }

    const Address address;

private:
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
};

/// \brief Two proxies with the target of the second one, a fake of the platform's store, a client, and the log of both
/// proxies.
class AccountsDeployment
{
public:
    explicit AccountsDeployment(std::optional<Milliseconds> withdrawalBound = withdrawalBoundOfTests)
    {
        for (ProxySettings &settings : m_settings) {
            const auto freeAddress = [] { return Address(absl::StrCat("127.0.0.1:", freePort())); };
            settings.node = NodeId(absl::StrCat("n", &settings - m_settings.data()));
            settings.region = RegionName("east");
            settings.dataCentre = DataCentreName("a");
            settings.callers = freeAddress();
            settings.inbound = freeAddress();
            settings.health = freeAddress();
            settings.announcements = freeAddress();
            settings.metrics = freeAddress();
            settings.target = m_target.address;
            settings.service = ServiceName("s");
            settings.store = store.address();
            settings.grace = Milliseconds(1'500);
            settings.keyWithdrawalBound = withdrawalBound;
        }
        m_thread.run([this] { m_client = std::make_unique<AsyncHttpClient>(m_thread.loop()); });
        start(0);
        start(1);
    }

    ~AccountsDeployment()
    {
        m_thread.run([this] { m_client.reset(); });
    }

    void start(std::size_t proxy)
    {
        m_proxies.at(proxy).reset();
        auto started =
                Proxy::start(m_settings.at(proxy), platform::adapter(), [this](LogLevel, const std::string &line) {
                    const std::lock_guard lock(m_logMutex);
                    absl::StrAppend(&m_log, line, "\n");
                });
        REQUIRE(started.ok());
        m_proxies.at(proxy) = *std::move(started);
    }

    HttpResponse call(const Address &address, HttpRequest request)
    {
        const auto promise = std::make_shared<std::promise<AsyncCallResult>>();
        m_thread.run([&] {
            m_client->send(address, request, {EventLoop::now() + accountsTestTimeout, Microseconds{0}},
                           [promise](AsyncCallResult result) { promise->set_value(std::move(result)); });
        });
        AsyncCallResult result = promise->get_future().get();
        if (!result.status.ok())
            result.response.status = 0;
        return std::move(result.response);
    }

    HttpResponse callProxy(std::size_t proxy, const std::string &path, const HttpHeaders &headers = {})
    {
        HttpRequest request{"GET", path, headers, {}};
        request.headers.add("Host", "h");
        request.headers.add("X-Dandeliondock-Attempt-Id", absl::StrCat("id", ++m_ids));
        request.headers.add("X-Dandeliondock-Time-Budget", "2000");
        return call(m_settings.at(proxy).callers, request);
    }

    HttpResponse callWithKey(const std::string &key, std::size_t proxy = 0)
    {
        HttpHeaders headers;
        headers.add("Authorization", "Bearer " + key);
        return callProxy(proxy, "/a/1", headers);
    }

    void announceTarget()
    {
        HttpRequest request{"POST", "/api/rpc?call=instances.heartbeat&of=" + m_settings[1].node.value(), {}, {}};
        request.body = absl::StrCat(R"({"service":"s","address":")", m_target.address.value(),
                                    R"(","zone":"a","version":"v1","slots":4,"state":"ready",)",
                                    R"("cold_remaining_ms":0,"sequence":1,"born":1000})");
        REQUIRE(call(m_settings[1].announcements, request).status == 200);
    }

    static bool eventually(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + accountsTestTimeout;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            std::this_thread::sleep_for(Milliseconds(20));
        }
        return false;
    }

    void startServing()
    {
        store.put("op", "config", configText(1, quoted(millKey)));
        announceTarget();
        for (const std::size_t proxy : {0U, 1U})
            REQUIRE(eventually([&] { return callWithKey(millKey, proxy).status == 200; }));
    }

    std::uint16_t callersPort()
    {
        const std::string &callers = m_settings[0].callers.value();
        return static_cast<std::uint16_t>(std::stoi(callers.substr(callers.rfind(':') + 1)));
    }

    std::string metricsPage() { return call(m_settings[0].metrics, {"GET", "/", {}, {}}).body; }

    std::string log()
    {
        const std::lock_guard lock(m_logMutex);
        return m_log;
    }

    FakeStore store;

private:
    std::mutex m_logMutex;
    std::string m_log;
    EchoTarget m_target;
    std::array<ProxySettings, 2> m_settings;
    std::array<std::unique_ptr<Proxy>, 2> m_proxies;
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpClient> m_client;
    int m_ids = 0;
};

} // namespace dandeliondock::testing
