#include "standins/platform_server.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/http/server.h>
#include <dandeliondock/store/http_store.h>
#include <dandeliondock/store/row_keys.h>

#include <absl/strings/str_cat.h>

#include <store.pb.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <mutex>

namespace dandeliondock {
namespace {

constexpr Milliseconds timeout{2'000};

Address addressOf(std::uint16_t port)
{
    return Address(absl::StrCat("127.0.0.1:", port));
}

// A platform whose answers the test sets.
class ScriptedPlatform
{
public:
    ScriptedPlatform()
        : m_server(*HttpServerBuilder()
                            .listen("127.0.0.1", 0)
                            .handler([this](const HttpRequest &) {
                                const std::scoped_lock lock(m_mutex);
                                return m_response;
                            })
                            .start())
    {
    }

    void answer(int status, const std::string &body)
    {
        const std::scoped_lock lock(m_mutex);
        m_response.status = status;
        m_response.body = body;
    }

    StoreHooks hooks() const
    {
        return makeHttpStore(std::make_shared<HttpClient>(), addressOf(m_server->port()), timeout);
    }

private:
    std::mutex m_mutex;
    HttpResponse m_response;
    std::unique_ptr<HttpServer> m_server;
};

const Transaction transaction{{{headKey(), RowVersion(1)}}, {{headKey(), "x"}}};

} // namespace

// Guards against a cut answer that passes for "not committed", so that a written ticket is called not accepted.
TEST_CASE("an answer to a commit that says nothing is an unknown outcome", "[store]")
{
    ScriptedPlatform platform;
    const StoreHooks hooks = platform.hooks();
    platform.answer(200, "");
    CHECK(errorKind(hooks.commit(transaction).status()) == ErrorKind::OutcomeUnknown);
    wire::CommitAnswer answer;
    answer.set_failed_key("another");
    platform.answer(200, answer.SerializeAsString());
    CHECK(errorKind(hooks.commit(transaction).status()) == ErrorKind::OutcomeUnknown);
    answer.set_failed_key("head");
    platform.answer(200, answer.SerializeAsString());
    CHECK_FALSE(hooks.commit(transaction)->committed);
    for (const int status : {400, 404, 500, 504}) {
        platform.answer(status, "");
        CHECK(errorKind(hooks.commit(transaction).status()) == ErrorKind::OutcomeUnknown);
    }
    for (const int status : {429, 503}) {
        platform.answer(status, "");
        CHECK(errorKind(hooks.commit(transaction).status()) == ErrorKind::StoreUnavailable);
    }
}

// Guards against malformed answers of the platform that crash a node or pass for rows.
TEST_CASE("every malformed answer is a typed error", "[store]")
{
    ScriptedPlatform platform;
    const StoreHooks hooks = platform.hooks();
    rc::prop("any body and status", [&] {
        const int status = *rc::gen::element(200, 200, 200, 404, 500, 503);
        platform.answer(status, *rc::gen::arbitrary<std::string>());
        const absl::Status read = hooks.read({headKey()}).status();
        RC_ASSERT(errorKind(read) == (status == 200 ? ErrorKind::InvalidRow : ErrorKind::StoreUnavailable));
        const auto scan = hooks.scan({revisionPrefix, {}, 4});
        const bool typed = scan.ok() ? scan->empty() : errorKind(scan.status()) != ErrorKind::Internal;
        RC_ASSERT(typed);
        const auto commit = hooks.commit(transaction);
        const ErrorKind expected = status == 503 ? ErrorKind::StoreUnavailable : ErrorKind::OutcomeUnknown;
        RC_ASSERT(errorKind(commit.status()) == expected);
    });
}

// Guards against rows that were not asked for.
TEST_CASE("rows outside the question are refused", "[store]")
{
    ScriptedPlatform platform;
    const StoreHooks hooks = platform.hooks();
    wire::ReadAnswer answer;
    wire::TableRow *row = answer.add_rows();
    row->set_key("rev/2");
    row->set_version(1);
    platform.answer(200, answer.SerializeAsString());
    CHECK(errorKind(hooks.read({headKey()}).status()) == ErrorKind::InvalidRow);
    CHECK(errorKind(hooks.scan({"ticket/", {}, 9}).status()) == ErrorKind::InvalidRow);
    CHECK(errorKind(hooks.scan({"rev/", "rev/3", 9}).status()) == ErrorKind::InvalidRow);
    CHECK(hooks.scan({"rev/", "rev/2", 9}).ok());
    *answer.add_rows() = answer.rows(0);
    platform.answer(200, answer.SerializeAsString());
    CHECK(errorKind(hooks.scan({"rev/", {}, 9}).status()) == ErrorKind::InvalidRow);
}

// Guards against a stand-in whose faults differ from what the tests mean by them.
TEST_CASE("the stand-in's faults reach the adapter with their kinds", "[store]")
{
    const auto platform = standins::PlatformServer::start("127.0.0.1", 0);
    REQUIRE(platform.ok());
    const auto client = std::make_shared<HttpClient>();
    const Address address = addressOf((*platform)->port());
    const StoreHooks hooks = makeHttpStore(client, address, timeout);
    const auto setFaults = [&](const std::string &json) {
        return client->send(address, {"POST", "/standin/faults", {}, json}, {}).response->status;
    };
    const Transaction first{{{headKey(), RowVersion{}}}, {{headKey(), "x"}}};

    REQUIRE(setFaults(R"({"outage": true})") == 200);
    CHECK(errorKind(hooks.read({headKey()}).status()) == ErrorKind::StoreUnavailable);
    CHECK(errorKind(hooks.commit(first).status()) == ErrorKind::StoreUnavailable);
    REQUIRE(setFaults(R"({"lost_requests": 10000})") == 200);
    CHECK(errorKind(hooks.commit(first).status()) == ErrorKind::OutcomeUnknown);
    CHECK(hooks.read({headKey()})->front().version == RowVersion{});
    REQUIRE(setFaults(R"({"lost_answers": 10000})") == 200);
    CHECK(errorKind(hooks.commit(first).status()) == ErrorKind::OutcomeUnknown);
    CHECK(hooks.read({headKey()})->front().value == "x");
    REQUIRE(setFaults(R"({"reads_per_second": 1})") == 200);
    const bool limited =
            !hooks.read({headKey()}).ok() || !hooks.read({headKey()}).ok() || !hooks.read({headKey()}).ok();
    CHECK(limited);
    CHECK(setFaults(R"({"outrage": true})") == 400);
    const standins::CallCounts counts = (*platform)->faults().counts();
    CHECK(counts.writes == 3);
    CHECK(counts.lost == 2);
}

} // namespace dandeliondock
