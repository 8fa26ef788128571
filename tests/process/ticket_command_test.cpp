#include "support/child_process.h"

#include <dandeliondock/http/client.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

namespace dandeliondock::testing {
namespace {

constexpr std::chrono::seconds startLimit{10};
constexpr int exitSuccess = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr int exitOutcomeUnknown = 3;
constexpr int exitTimedOut = 4;

std::uint16_t readPort(ChildProcess &process)
{
    const std::string line = process.readLine();
    return static_cast<std::uint16_t>(std::stoi(line.substr(line.find('=') + 1)));
}

std::string ticketFile(int number, const std::string &author)
{
    return writeTemporary(absl::StrCat("ticket-", number, author, ".json"),
                          absl::StrCat(R"({"number": )", number, R"(, "author": ")", author, R"(", "resources": [
        {"version": {"service": "ledger", "name": "v1"}},
        {"service": {"name": "ledger", "version": "v1", "slots_per_target": 20, "connections_per_target": 130}}]})"));
}

// A platform and one node without a target.
struct Deployment
{
    ChildProcess platform{"standin-platform", {}};
    std::uint16_t store = readPort(platform);
    std::uint16_t operators = freePort();
    std::string keyFile = writeTemporary("operator.key", "a-long-key\n");
    ChildProcess node{"dandeliondock-node", {"--settings=" + writeTemporary("node-command.json", settings())}};
    HttpClient client;

    Deployment()
    {
        const Address address(absl::StrCat("127.0.0.1:", operators));
        REQUIRE(eventually(
                [&] {
                    return client.send(address, {"GET", "/status", {}, {}}, {}).response.ok();
                },
                startLimit));
    }

    std::string settings() const
    {
        return absl::StrCat(R"({"deployment": "test", "node": "n1", "region": "east-mids", "data_centre": "em-1",
            "callers": {"address": "127.0.0.1", "port": )",
                            freePort(), R"(},
            "nodes": {"address": "127.0.0.1", "port": )",
                            freePort(), R"(},
            "operators": {"address": "127.0.0.1", "port": )",
                            operators, R"(},
            "operator_key": "a-long-key", "store_address": "127.0.0.1:)",
                            store, R"(",
            "store_region": "east-mids"})");
    }

    void setFaults(const std::string &json)
    {
        const Address address(absl::StrCat("127.0.0.1:", store));
        REQUIRE(client.send(address, {"POST", "/standin/faults", {}, json}, {}).response->status == 200);
    }

    int command(std::vector<std::string> arguments, std::string *output = nullptr) const
    {
        arguments.push_back(absl::StrCat("--node=127.0.0.1:", operators));
        arguments.push_back("--key_file=" + keyFile);
        arguments.push_back("--timeout_ms=20000");
        ChildProcess process("dandeliondock-ticket", arguments);
        const std::string text = process.readAll();
        if (output != nullptr)
            *output = text;
        return process.wait();
    }
};

} // namespace

// Guards against an operator's script that takes a refusal, a lost response or an outage for something else.
TEST_CASE("the ticket command's exit codes tell what became of a filing", "[process]")
{
    Deployment deployment;
    std::string output;
    CHECK(deployment.command({"check", ticketFile(5, "ada")}) == exitSuccess);
    CHECK(deployment.command({"show", "5"}) == exitFailed);
    CHECK(deployment.command({"file", ticketFile(5, "ada")}, &output) == exitSuccess);
    CHECK(output == "ticket 5 is accepted as revision 1\n");
    CHECK(deployment.command({"file", ticketFile(5, "ada")}, &output) == exitSuccess);
    CHECK(output == "ticket 5 was accepted before as revision 1\n");
    CHECK(deployment.command({"file", ticketFile(5, "grace")}) == exitFailed);
    CHECK(deployment.command({"file", ticketFile(4, "ada")}) == exitFailed);
    CHECK(deployment.command({"wait", "5", "--until=in_force"}) == exitSuccess);
    CHECK(deployment.command({"wait", "6", "--wait_ms=1"}) == exitFailed);
    CHECK(deployment.command({"file", "/nonexistent"}) == exitUsage);
    CHECK(deployment.command({"list", "--limit=x"}) == exitUsage);

    deployment.setFaults(R"({"lost_answers": 10000})");
    CHECK(deployment.command({"file", ticketFile(6, "ada")}) == exitSuccess);
    deployment.setFaults(R"({"lost_requests": 10000})");
    CHECK(deployment.command({"file", ticketFile(7, "ada")}) == exitOutcomeUnknown);
    deployment.setFaults(R"({"outage": true})");
    CHECK(deployment.command({"file", ticketFile(8, "ada")}) == exitFailed);
    CHECK(deployment.command({"wait", "6", "--wait_ms=1"}) == exitTimedOut);
    deployment.setFaults("{}");
    CHECK(deployment.command({"show", "7"}) == exitFailed);
    CHECK(deployment.command({"list", "--output=json"}, &output) == exitSuccess);
    CHECK(output.find("\"number\": \"6\"") != std::string::npos);
}

// Guards against a node that starts in part with wrong settings.
TEST_CASE("a node with wrong settings starts nothing and exits with 2", "[process]")
{
    ChildProcess node("dandeliondock-node", {"--settings=" + writeTemporary("wrong.json", R"({"node": 1})")});
    CHECK(node.wait() == exitUsage);
    ChildProcess missing("dandeliondock-node", {"--settings=/nonexistent"});
    CHECK(missing.wait() == exitUsage);
}

} // namespace dandeliondock::testing
