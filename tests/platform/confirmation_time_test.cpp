#include "support/child_process.h"
#include "support/fake_store.h"
#include "support/loop_thread.h"
#include "support/table_versions.h"

#include <platform/table_client.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace dandeliondock::testing {
namespace {

const TableName table("op");

/// Client of a store that is read through the platform's adapter.
class StoreClient
{
public:
    explicit StoreClient(const Address &store)
    {
        m_thread.run([&] {
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            m_hooks = platform::tableClient(*m_client, store);
        });
    }

    ~StoreClient()
    {
        m_thread.run([this] { m_client.reset(); });
    }

    std::future<BootTime> poll(Milliseconds hold)
    {
        return read([hold](const AsyncTableHooks &hooks, TableReadHandler handler) {
            hooks.pollChanges(table, tableVersion(1), hold, std::move(handler));
        });
    }

    std::future<BootTime> list()
    {
        return read(
                [](const AsyncTableHooks &hooks, TableReadHandler handler) { hooks.list(table, std::move(handler)); });
    }

private:
    std::future<BootTime> read(const std::function<void(const AsyncTableHooks &, TableReadHandler)> &call)
    {
        const auto promise = std::make_shared<std::promise<BootTime>>();
        m_thread.run([&] {
            call(m_hooks, [promise](const absl::StatusOr<TableReadResult> &result) {
                promise->set_value(result.ok() ? result->confirmedAt.value_or(BootTime()) : BootTime());
            });
        });
        return promise->get_future();
    }

    LoopThread m_thread;
    std::unique_ptr<AsyncHttpClient> m_client;
    AsyncTableHooks m_hooks;
};

} // namespace

// Guards against an interruption of the store that ends a lease early because each poll counts from its sending.
TEST_CASE("a poll that the store held without a change confirms the end of the hold", "[platform]")
{
    constexpr Milliseconds hold{400};
    FakeStore store;
    store.put("op", "config", "");
    StoreClient client(store.address());
    const BootTime calledAt = BootClock::now();
    const BootTime confirmedAt = client.poll(hold).get();
    CHECK(confirmedAt >= calledAt + hold);
    CHECK(confirmedAt <= BootClock::now());
}

// Guards against a response that was delayed on its way and counts as fresh: a change, a full read or an early response
// may be of any time from the sending of the call on.
TEST_CASE("any other response of the store confirms no later time than its call", "[platform]")
{
    FakeStore store;
    store.put("op", "config", "1");
    StoreClient client(store.address());
    auto changed = client.poll(Milliseconds(2'000));
    const BootTime sentAt = BootClock::now();
    std::this_thread::sleep_for(Milliseconds(150));
    store.put("op", "config", "2");
    CHECK(changed.get() <= sentAt);
    const BootTime beforeList = BootClock::now();
    const BootTime listed = client.list().get();
    CHECK(listed >= beforeList);
    CHECK(listed <= BootClock::now());

    const Address early(absl::StrCat("127.0.0.1:", freePort()));
    LoopThread thread;
    std::unique_ptr<AsyncHttpServer> server;
    LoopTimer delay;
    thread.run([&] {
        server = std::make_unique<AsyncHttpServer>(thread.loop(), [&](const HttpRequestContextPtr &context) {
            delay = thread.loop().after(Milliseconds(150), [context] {
                HttpResponse response;
                response.body = R"({"rows":[],"has_more":false,"ver":5,"now_ms":1})";
                context->respond(std::move(response));
            });
        });
        REQUIRE(server->listen(early).ok());
    });
    StoreClient earlyClient(early);
    auto empty = earlyClient.poll(Milliseconds(2'000));
    const BootTime emptySentAt = BootClock::now();
    const BootTime emptyConfirmedAt = empty.get();
    CHECK(emptyConfirmedAt <= emptySentAt);
    CHECK(emptyConfirmedAt > BootTime());
    thread.run([&] {
        delay.cancel();
        server.reset();
    });
}

} // namespace dandeliondock::testing
