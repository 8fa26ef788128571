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

std::uint16_t readPrintedPort(ChildProcess &process)
{
    const std::string line = process.readLine();
    return static_cast<std::uint16_t>(std::stoi(line.substr(line.find('=') + 1)));
}

std::string writeTicketFile(int number, const std::string &author)
{
    return writeTemporary(absl::StrCat("ticket-", number, author, ".json"),
                          absl::StrCat(R"({"number": )", number, R"(, "author": ")", author, R"(", "resources": [
        {"version": {"service": "ledger", "name": "v1"}},
        {"service": {"name": "ledger", "version": "v1", "slots_per_target": 20, "connections_per_target": 130}}]})"));
}

// Starts a platform stand-in and one node without a target.
struct Deployment
{
    ChildProcess platform{"standin-platform", {}};
    std::uint16_t storePort = readPrintedPort(platform);
    std::uint16_t operatorsPort = freePort();
    std::string keyFile = writeTemporary("operator.key", "a-long-key\n");
    ChildProcess node{"dandeliondock-node", {"--settings=" + writeTemporary("node-command.json", settingsJson())}};
    HttpClient client;

    Deployment()
    {
        const Address address(absl::StrCat("127.0.0.1:", operatorsPort));
        REQUIRE(eventually(
                [&] {
                    return client.send(address, {"GET", "/status", {}, {}}, {}).response.ok();
                },
                startLimit));
    }

    std::string settingsJson() const
    {
        return absl::StrCat(R"({"deployment": "test", "node": "n1", "region": "east-mids", "data_centre": "em-1",
            "callers": {"address": "127.0.0.1", "port": )",
                            freePort(), R"(},
            "nodes": {"address": "127.0.0.1", "port": )",
                            freePort(), R"(},
            "operators": {"address": "127.0.0.1", "port": )",
                            operatorsPort, R"(},
            "operator_key": "a-long-key", "store_address": "127.0.0.1:)",
                            storePort, R"(",
            "store_region": "east-mids"})");
    }

    void setFaults(const std::string &json)
    {
        const Address address(absl::StrCat("127.0.0.1:", storePort));
        REQUIRE(client.send(address, {"POST", "/standin/faults", {}, json}, {}).response->status == 200);
    }

    int runCommand(std::vector<std::string> arguments, std::string *output = nullptr) const
    {
        arguments.push_back(absl::StrCat("--node=127.0.0.1:", operatorsPort));
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

// Guards against exit codes by which an operator's script can't tell a refusal, a lost response and an outage apart.
TEST_CASE("the exit code of the ticket command states the outcome of filing a ticket", "[process]")
{
    Deployment deployment;
    std::string output;
    CHECK(deployment.runCommand({"check", writeTicketFile(5, "ada")}) == exitSuccess);
    CHECK(deployment.runCommand({"show", "5"}) == exitFailed);
    CHECK(deployment.runCommand({"file", writeTicketFile(5, "ada")}, &output) == exitSuccess);
    CHECK(output == "ticket 5 is accepted as revision 1\n");
    CHECK(deployment.runCommand({"file", writeTicketFile(5, "ada")}, &output) == exitSuccess);
    CHECK(output == "ticket 5 was accepted before as revision 1\n");
    CHECK(deployment.runCommand({"file", writeTicketFile(5, "grace")}) == exitFailed);
    CHECK(deployment.runCommand({"file", writeTicketFile(4, "ada")}) == exitFailed);
    CHECK(deployment.runCommand({"wait", "5", "--until=in_force"}) == exitSuccess);
    CHECK(deployment.runCommand({"wait", "6", "--wait_ms=1"}) == exitFailed);
    CHECK(deployment.runCommand({"file", "/nonexistent"}) == exitUsage);
    CHECK(deployment.runCommand({"list", "--limit=x"}) == exitUsage);

    deployment.setFaults(R"({"lost_answers": 10000})");
    CHECK(deployment.runCommand({"file", writeTicketFile(6, "ada")}) == exitSuccess);
    deployment.setFaults(R"({"lost_requests": 10000})");
    CHECK(deployment.runCommand({"file", writeTicketFile(7, "ada")}) == exitOutcomeUnknown);
    deployment.setFaults(R"({"outage": true})");
    CHECK(deployment.runCommand({"file", writeTicketFile(8, "ada")}) == exitFailed);
    CHECK(deployment.runCommand({"wait", "6", "--wait_ms=1"}) == exitTimedOut);
    deployment.setFaults("{}");
    CHECK(deployment.runCommand({"show", "7"}) == exitFailed);
    CHECK(deployment.runCommand({"list", "--output=json"}, &output) == exitSuccess);
    CHECK(output.find("\"number\": \"6\"") != std::string::npos);
}

// Guards against a node that starts partially with invalid settings.
TEST_CASE("a node with invalid settings exits with code 2 and starts nothing", "[process]")
{
    ChildProcess node("dandeliondock-node", {"--settings=" + writeTemporary("wrong.json", R"({"node": 1})")});
    CHECK(node.wait() == exitUsage);
    ChildProcess missing("dandeliondock-node", {"--settings=/nonexistent"});
    CHECK(missing.wait() == exitUsage);
}

} // namespace dandeliondock::testing
