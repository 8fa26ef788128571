#include "support/child_process.h"

#include <dandeliondock/http/client.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <csignal>

namespace dandeliondock::testing {
namespace {

constexpr const char *operatorKey = "test-key";
constexpr std::chrono::seconds convergence{10};

std::uint16_t portOf(ChildProcess &process)
{
    const std::string line = process.readLine();
    return static_cast<std::uint16_t>(std::stoi(line.substr(line.find('=') + 1)));
}

std::string settingsJson(std::uint16_t store, std::uint16_t target, std::uint16_t callers, std::uint16_t operators)
{
    return absl::StrCat(R"({"deployment": "test", "node": "n1", "region": "east-mids", "data_centre": "em-1",
        "callers": {"address": "127.0.0.1", "port": )",
                        callers, R"(},
        "nodes": {"address": "127.0.0.1", "port": )",
                        freePort(), R"(},
        "operators": {"address": "127.0.0.1", "port": )",
                        operators, R"(},
        "operator_key": ")",
                        operatorKey, R"(", "store_address": "127.0.0.1:)", store, R"(",
        "store_region": "east-mids",
        "target": {"id": "t1", "address": "127.0.0.1:)",
                        target, R"(", "service": "ledger", "version": "v1",
                   "slots": 20}})");
}

constexpr const char *ticketJson = R"({"number": 1, "author": "ada", "resources": [
    {"version": {"service": "ledger", "name": "v1"}},
    {"service": {"name": "ledger", "version": "v1", "slots_per_target": 20, "connections_per_target": 130}},
    {"route": {"name": "orders", "path_prefix": "/orders", "service": "ledger", "timeout_ms": 1000,
               "work_class": "WORK_CLASS_CRITICAL"}}]})";

} // namespace

// Guards against a broken link anywhere between an operator's ticket and a caller's answer.
TEST_CASE("a filed ticket makes a caller's request reach the target", "[process]")
{
    ChildProcess platform("standin-platform", {});
    ChildProcess target("standin-target", {"--version_name=v1"});
    const std::uint16_t store = portOf(platform);
    const std::uint16_t targetPort = portOf(target);
    const std::uint16_t callers = freePort();
    const std::uint16_t operators = freePort();
    const std::string settings = writeTemporary("node.json", settingsJson(store, targetPort, callers, operators));
    ChildProcess node("dandeliondock-node", {"--settings=" + settings});

    HttpClient client;
    const Address caller(absl::StrCat("127.0.0.1:", callers));
    REQUIRE(eventually([&] { return client.send(caller, {"GET", "/orders", {}, {}}, {}).response.ok(); }, convergence));
    REQUIRE(client.send(caller, {"GET", "/orders", {}, {}}, {}).response->status == 404);

    const std::string keyFile = writeTemporary("key", operatorKey);
    const std::string ticketFile = writeTemporary("ticket.json", ticketJson);
    ChildProcess filing("dandeliondock-ticket",
                        {"--node=127.0.0.1:" + std::to_string(operators), "--key_file=" + keyFile, "file", ticketFile});
    REQUIRE(filing.wait() == 0);

    const HttpRequest order{"POST", "/orders?mill=7", {}, "finisher"};
    REQUIRE(eventually([&] { return client.send(caller, order, {}).response->status == 200; }, convergence));
    const SendResult result = client.send(caller, order, {});
    REQUIRE(result.response.ok());
    CHECK(result.response->body == "POST /orders?mill=7 finisher");
    CHECK(result.response->headers.first("X-Version") == "v1");

    node.signal(SIGTERM);
    CHECK(node.wait() == 0);
}

} // namespace dandeliondock::testing
