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

// An HTTP server that returns the response set by the test.
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

    void setResponse(int status, const std::string &body)
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

// Guards against a truncated response that is taken for "not committed", so that an accepted ticket is reported as
// rejected.
TEST_CASE("a response to a commit without a valid result gives an unknown outcome", "[store]")
{
    ScriptedPlatform platform;
    const StoreHooks hooks = platform.hooks();
    platform.setResponse(200, "");
    CHECK(errorKind(hooks.commit(transaction).status()) == ErrorKind::OutcomeUnknown);
    wire::CommitAnswer response;
    response.set_failed_key("another");
    platform.setResponse(200, response.SerializeAsString());
    CHECK(errorKind(hooks.commit(transaction).status()) == ErrorKind::OutcomeUnknown);
    response.set_failed_key("head");
    platform.setResponse(200, response.SerializeAsString());
    CHECK_FALSE(hooks.commit(transaction)->committed);
    for (const int status : {400, 404, 500, 504}) {
        platform.setResponse(status, "");
        CHECK(errorKind(hooks.commit(transaction).status()) == ErrorKind::OutcomeUnknown);
    }
    for (const int status : {429, 503}) {
        platform.setResponse(status, "");
        CHECK(errorKind(hooks.commit(transaction).status()) == ErrorKind::StoreUnavailable);
    }
}

// Guards against malformed responses of the platform that crash a node or are taken for rows.
TEST_CASE("every malformed response gives an error of the matching kind", "[store]")
{
    ScriptedPlatform platform;
    const StoreHooks hooks = platform.hooks();
    rc::prop("responses with any body and status", [&] {
        const int status = *rc::gen::element(200, 200, 200, 404, 500, 503);
        platform.setResponse(status, *rc::gen::arbitrary<std::string>());
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

// Guards against rows that were not requested.
TEST_CASE("rows outside the requested keys or range are rejected", "[store]")
{
    ScriptedPlatform platform;
    const StoreHooks hooks = platform.hooks();
    wire::ReadAnswer response;
    wire::TableRow *row = response.add_rows();
    row->set_key("rev/2");
    row->set_version(1);
    platform.setResponse(200, response.SerializeAsString());
    CHECK(errorKind(hooks.read({headKey()}).status()) == ErrorKind::InvalidRow);
    CHECK(errorKind(hooks.scan({"ticket/", {}, 9}).status()) == ErrorKind::InvalidRow);
    CHECK(errorKind(hooks.scan({"rev/", "rev/3", 9}).status()) == ErrorKind::InvalidRow);
    CHECK(hooks.scan({"rev/", "rev/2", 9}).ok());
    *response.add_rows() = response.rows(0);
    platform.setResponse(200, response.SerializeAsString());
    CHECK(errorKind(hooks.scan({"rev/", {}, 9}).status()) == ErrorKind::InvalidRow);
}

// Guards against a stand-in whose faults have other effects than the tests expect.
TEST_CASE("the stand-in's faults arrive at the HTTP store as the matching error kinds", "[store]")
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
