#include "support/child_process.h"

#include <dandeliondock/codec/bytes.h>
#include <dandeliondock/http/client.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <catch2/catch.hpp>

#include <status.pb.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>

namespace dandeliondock::testing {
namespace {

constexpr std::size_t nodeCount = 12;
constexpr std::chrono::seconds startLimit{30};
// A frozen holder's lease lasts 6 s, and its children notice the silence within 2 s.
constexpr std::chrono::seconds repairLimit{25};

struct ClusterNode
{
    std::uint16_t control = freePort();
    std::uint16_t operators = freePort();
    std::unique_ptr<ChildProcess> process;
};

std::string settingsOf(std::size_t index, const std::vector<ClusterNode> &nodes, std::uint16_t store)
{
    std::vector<std::string> peers;
    for (std::size_t i = index % 2; i < nodes.size(); i += 2) {
        if (i != index)
            peers.push_back(absl::StrCat("\"127.0.0.1:", nodes[i].control, "\""));
    }
    const std::string region = index % 2 == 0 ? "east-mids" : "west-mids";
    return absl::StrCat(R"({"deployment": "test", "node": "n)", index, R"(", "region": ")", region,
                        R"(", "data_centre": ")", region, R"(-1", "fan_out": 3,
        "callers": {"address": "127.0.0.1"}, "nodes": {"address": "127.0.0.1", "port": )",
                        nodes[index].control, R"(},
        "operators": {"address": "127.0.0.1", "port": )",
                        nodes[index].operators, R"(}, "operator_key": "test-key", "store_region": "east-mids",
        "store_address": "127.0.0.1:)",
                        store, R"(", "peers": [)", absl::StrJoin(peers, ","), "]}");
}

std::optional<wire::NodeStatus> statusOf(HttpClient &client, const ClusterNode &node)
{
    HttpRequest request{"GET", "/status", {}, {}};
    request.headers.add("X-Operator-Key", "test-key");
    SendOptions options;
    options.timeout = std::chrono::milliseconds(500);
    const Address address(absl::StrCat("127.0.0.1:", node.operators));
    const SendResult result = client.send(address, request, options);
    wire::NodeStatus status;
    if (!result.response.ok() || !parseJson(result.response->body, ErrorKind::InvalidMessage, "status", status).ok())
        return std::nullopt;
    return status;
}

bool fileTicket(HttpClient &client, const ClusterNode &node, std::uint64_t number)
{
    HttpRequest request{"POST", "/tickets", {}, {}};
    request.headers.add("X-Operator-Key", "test-key");
    request.body = absl::StrCat(R"({"number": )", number, R"(, "author": "ada", "resources": [
        {"version": {"service": "ledger", "name": "v)",
                                number, R"("}}, {"service": {"name": "ledger", "version": "v)", number,
                                R"(", "slots_per_target": 20, "connections_per_target": 130}}]})");
    const SendResult result = client.send(Address(absl::StrCat("127.0.0.1:", node.operators)), request, SendOptions());
    return result.response.ok() && result.response->status == 200;
}

bool holdsRevision(HttpClient &client, const ClusterNode &node, std::uint64_t revision)
{
    const std::optional<wire::NodeStatus> status = statusOf(client, node);
    return status && status->revision() == revision && status->path_size() > 0;
}

bool allHold(HttpClient &client, const std::vector<ClusterNode> &nodes, std::uint64_t revision)
{
    return std::all_of(nodes.begin(), nodes.end(),
                       [&](const ClusterNode &node) { return !node.process || holdsRevision(client, node, revision); });
}

// The node with the most children among those that match.
template <typename Match>
std::size_t busiest(HttpClient &client, const std::vector<ClusterNode> &nodes, Match match)
{
    std::size_t best = nodes.size();
    std::uint32_t children = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const auto status = nodes[i].process ? statusOf(client, nodes[i]) : std::nullopt;
        if (status && match(*status) && (best == nodes.size() || status->children() > children)) {
            best = i;
            children = status->children();
        }
    }
    return best;
}

} // namespace

// Guards against nodes that stay behind after the process above them dies or stops without closing its connections.
TEST_CASE("two regions converge after a relay is killed and another is frozen", "[process]")
{
    ChildProcess platform("standin-platform", {});
    const std::string line = platform.readLine();
    const auto store = static_cast<std::uint16_t>(std::stoi(line.substr(line.find('=') + 1)));
    std::vector<ClusterNode> nodes(nodeCount);
    for (std::size_t i = 0; i < nodeCount; ++i) {
        const std::string path = writeTemporary(absl::StrCat("node", i, ".json"), settingsOf(i, nodes, store));
        nodes[i].process =
                std::make_unique<ChildProcess>("dandeliondock-node", std::vector<std::string>{"--settings=" + path});
    }
    HttpClient client;
    REQUIRE(eventually([&] { return fileTicket(client, nodes[0], 1); }, startLimit));
    REQUIRE(eventually([&] { return allHold(client, nodes, 1); }, startLimit));

    const std::size_t killed =
            busiest(client, nodes, [](const wire::NodeStatus &status) { return status.path_size() > 1; });
    REQUIRE(killed < nodeCount);
    nodes[killed].process->signal(SIGKILL);
    nodes[killed].process.reset();

    const std::size_t frozen = busiest(client, nodes, [](const wire::NodeStatus &status) {
        return status.path_size() == 1 || status.children() > 0;
    });
    REQUIRE(frozen < nodeCount);
    nodes[frozen].process->signal(SIGSTOP);

    const std::size_t filer = (std::max(killed, frozen) + 1) % nodeCount == std::min(killed, frozen)
                                      ? (std::min(killed, frozen) + 1) % nodeCount
                                      : (std::max(killed, frozen) + 1) % nodeCount;
    REQUIRE(eventually([&] { return fileTicket(client, nodes[filer], 2); }, startLimit));
    const auto othersHold = [&] {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (i != frozen && nodes[i].process && !holdsRevision(client, nodes[i], 2))
                return false;
        }
        return true;
    };
    CHECK(eventually(othersHold, repairLimit));

    nodes[frozen].process->signal(SIGCONT);
    CHECK(eventually([&] { return allHold(client, nodes, 2); }, repairLimit));
    for (ClusterNode &node : nodes) {
        if (node.process)
            node.process->signal(SIGTERM);
    }
    for (ClusterNode &node : nodes)
        CHECK((!node.process || node.process->wait() == 0));
}

} // namespace dandeliondock::testing
