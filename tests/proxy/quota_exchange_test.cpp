#include "support/child_process.h"
#include "support/loop_thread.h"

#include <dandeliondock/codec/quota_codec.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/quota_exchange.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace dandeliondock::testing {
namespace {

constexpr Seconds testTimeout{6};
const AccountName account("mill");

ProxyConfigPtr configWith(std::uint64_t revision, double rate)
{
    ClientAccount limited;
    limited.name = account;
    limited.keys.emplace_back("secret");
    limited.quota = {RequestRate(rate), RequestAmount(rate)};
    auto accounts = AccountDirectory::create({limited});
    REQUIRE(accounts.ok());
    auto state = ConfigState::fromSnapshot(RevisionNumber(revision), {});
    REQUIRE(state.ok());
    return std::make_shared<const ProxyConfig>(std::make_shared<const ConfigState>(*std::move(state)),
                                               ConnectionLimits{}, *std::move(accounts));
}

/// A QuotaExchange on its own event loop, with a listener for other exchanges.
class TestProxy
{
public:
    explicit TestProxy(const char *dataCentre)
        : self{DataCentreName(dataCentre), Address(absl::StrCat("127.0.0.1:", freePort()))}
    {
    }

    ~TestProxy()
    {
        m_thread.run([this] {
            m_server.reset();
            m_exchange.reset();
            m_client.reset();
        });
    }

    void start(const QuotaPeers &peers)
    {
        m_thread.run([&] {
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            QuotaExchangeDependencies dependencies;
            dependencies.loop = &m_thread.loop();
            dependencies.client = m_client.get();
            dependencies.metrics = &metrics;
            dependencies.random = seededRandom(3);
            dependencies.self = self;
            dependencies.incarnation = Incarnation(1);
            dependencies.peers = [peers] { return peers; };
            dependencies.onGrants = [this](const QuotaGrants &grants) {
                const std::lock_guard lock(m_mutex);
                m_grants.push_back(grants);
            };
            m_exchange = std::make_unique<QuotaExchange>(std::move(dependencies));
            m_server = std::make_unique<AsyncHttpServer>(m_thread.loop(), [this](const HttpRequestContextPtr &context) {
                ++messages;
                PeerResponse handled =
                        m_exchange->handle(**peerMessageKind(context->request()), context->request().body.text());
                HttpResponse response;
                response.status = handled.status;
                response.body = std::move(handled.body);
                context->respond(std::move(response));
            });
            REQUIRE(m_server->listen(self.address).ok());
        });
    }

    /// Closes the listener; the proxy itself goes on.
    void closeListener()
    {
        m_thread.run([this] { m_server.reset(); });
    }

    void run(const std::function<void(QuotaExchange &)> &work)
    {
        m_thread.run([&] { work(*m_exchange); });
    }

    /// Reports a usage and returns whether a response with the expected property arrives in time.
    bool reportsUntil(const AccountUsage &usage, const std::function<bool(const QuotaGrants &)> &isExpected)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (std::chrono::steady_clock::now() < end) {
            run([&](QuotaExchange &exchange) { exchange.report({usage}); });
            std::this_thread::sleep_for(Milliseconds(50));
            const std::lock_guard lock(m_mutex);
            if (!m_grants.empty() && isExpected(m_grants.back()))
                return true;
        }
        return false;
    }

    const QuotaPeer self;
    MetricsRegistry metrics;
    std::atomic<int> messages{0};

private:
    LoopThread m_thread;
    std::mutex m_mutex;
    std::vector<QuotaGrants> m_grants;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<QuotaExchange> m_exchange;
    std::unique_ptr<AsyncHttpServer> m_server;
};

const AccountUsage hot{account, RequestRate(600), RequestRate(600), RequestAmount(600)};
const AccountUsage usual{account, RequestRate(10), RequestRate(10), RequestAmount(50)};

bool isLimited(const QuotaGrants &grants)
{
    return !grants.accounts.empty();
}

/// Two data centres with two proxies each, with a quota of 100 requests per second.
struct Fleet
{
    Fleet()
    {
        for (TestProxy *proxy : {&a1, &a2, &b1, &b2})
            proxy->start(peers());
        for (TestProxy *proxy : {&a1, &a2, &b1, &b2})
            proxy->run([](QuotaExchange &exchange) { exchange.setConfig(configWith(1, 100)); });
    }

    [[nodiscard]] QuotaPeers peers() const { return {a1.self, a2.self, b1.self, b2.self}; }

    /// The proxy of a data centre that comes first, and the other one.
    static std::pair<TestProxy *, TestProxy *> inOrder(TestProxy &one, TestProxy &two)
    {
        return one.self < two.self ? std::pair(&one, &two) : std::pair(&two, &one);
    }

    TestProxy a1{"a"};
    TestProxy a2{"a"};
    TestProxy b1{"b"};
    TestProxy b2{"b"};
};

} // namespace

// Guards against usage that stays in its data centre.
TEST_CASE("an account that is hot in one data centre is limited in the other one", "[proxy][quotas]")
{
    Fleet fleet;
    CHECK(fleet.a2.reportsUntil(usual, [](const QuotaGrants &grants) { return grants.proxies == 4; }));
    CHECK(fleet.b2.reportsUntil(hot, isLimited));
    CHECK(fleet.a2.reportsUntil(usual, isLimited));
    CHECK(fleet.a1.reportsUntil(usual, isLimited));
}

// Guards against a data centre without grants after the loss of its collector.
TEST_CASE("the next proxy collects when the collector is lost", "[proxy][quotas]")
{
    Fleet fleet;
    const auto [first, second] = Fleet::inOrder(fleet.a1, fleet.a2);
    CHECK(second->reportsUntil(hot, isLimited));
    first->closeListener();
    CHECK(second->reportsUntil(usual, [](const QuotaGrants &grants) { return !isLimited(grants); }));
    CHECK(second->metrics.counter("quota_collectors_lost_total").value() > 0);
    // The substitute exchanges its sums with the other data centre.
    CHECK(fleet.b1.reportsUntil(hot, isLimited));
    CHECK(second->reportsUntil(usual, isLimited));
}

// Guards against messages of deployments that have no quotas.
TEST_CASE("nothing is sent while the configuration has no quotas", "[proxy][quotas]")
{
    Fleet fleet;
    for (TestProxy *proxy : {&fleet.a1, &fleet.a2, &fleet.b1, &fleet.b2})
        proxy->run([](QuotaExchange &exchange) { exchange.setConfig(configWith(2, 0)); });
    std::this_thread::sleep_for(Milliseconds(800));
    const int before = fleet.a1.messages + fleet.a2.messages + fleet.b1.messages + fleet.b2.messages;
    std::this_thread::sleep_for(Milliseconds(800));
    CHECK(fleet.a1.messages + fleet.a2.messages + fleet.b1.messages + fleet.b2.messages == before);
}

// Guards against malformed messages that are taken for a report, and against sums that a proxy accepts for others.
TEST_CASE("malformed quota messages are refused, and sums are answered by collectors only", "[proxy][quotas]")
{
    Fleet fleet;
    const auto [first, second] = Fleet::inOrder(fleet.a1, fleet.a2);
    const std::string sums =
            encodeQuotaSums({fleet.b1.self.address, {Incarnation(1), SequenceNumber(1)}, fleet.b1.self.dataCentre, {}});
    first->run([&](QuotaExchange &exchange) {
        CHECK(exchange.handle(PeerMessageKind::QuotaReport, "odd").status == 400);
        CHECK(exchange.handle(PeerMessageKind::QuotaSums, "odd").status == 400);
        CHECK(exchange.handle(PeerMessageKind::QuotaSums, sums).status == 200);
    });
    second->run(
            [&](QuotaExchange &exchange) { CHECK(exchange.handle(PeerMessageKind::QuotaSums, sums).status == 404); });
}

} // namespace dandeliondock::testing
