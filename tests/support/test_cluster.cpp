#include "test_cluster.h"

#include <dandeliondock/codec/protobuf_codec.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <stdexcept>

namespace dandeliondock::testing {

namespace {

constexpr const char *operatorKey = "test-key";

std::string listenerSetting(const char *key, std::uint16_t port)
{
    return absl::StrCat("\"", key, R"(": {"address": "127.0.0.1", "port": )", port, "}, ");
}

Address loopback(std::uint16_t port)
{
    return Address(absl::StrCat("127.0.0.1:", port));
}

} // namespace

std::uint16_t portOf(ChildProcess &process)
{
    const std::string line = process.readLine();
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(line.substr(line.find('=') + 1), &port))
        throw std::runtime_error("the stand-in printed no port");
    return static_cast<std::uint16_t>(port);
}

TestCluster::TestCluster(std::string deployment, std::string storeRegion, std::string extraSettings)
    : m_deployment(std::move(deployment)), m_storeRegion(std::move(storeRegion)),
      m_extraSettings(std::move(extraSettings)), m_keyFile(writeTemporary("key", operatorKey)),
      m_platform(std::make_unique<ChildProcess>("standin-platform", std::vector<std::string>{}))
{
    m_platformPort = portOf(*m_platform);
}

std::string TestCluster::settingsJson(const NodeProcess &node) const
{
    std::string json =
            absl::StrCat("{", listenerSetting("callers", node.callersPort), listenerSetting("nodes", node.nodesPort),
                         listenerSetting("operators", node.operatorsPort));
    absl::StrAppend(&json, "\"deployment\": \"", m_deployment, "\", \"node\": \"", node.spec.name, "\", \"region\": \"",
                    node.spec.region, "\", \"data_centre\": \"", node.spec.dataCentre, "\", ");
    absl::StrAppend(&json, "\"operator_key\": \"", operatorKey, "\", \"store_address\": \"127.0.0.1:", m_platformPort,
                    "\", \"store_region\": \"", m_storeRegion, "\"");
    if (node.spec.target) {
        absl::StrAppend(&json, ", \"target\": {\"id\": \"", node.spec.name,
                        "-target\", \"address\": \"127.0.0.1:", node.targetPort, "\", \"service\": \"",
                        node.spec.target->service, "\", \"version\": \"", node.spec.target->version,
                        "\", \"slots\": ", node.spec.target->slots, "}");
    }
    if (m_usePeers)
        absl::StrAppend(&json, ", \"peers\": [", peersJson(node), "]");
    return absl::StrCat(json, m_extraSettings, "}");
}

std::string TestCluster::peersJson(const NodeProcess &node) const
{
    std::vector<std::string> peers;
    for (const auto &other : m_nodes) {
        if (other->spec.region == node.spec.region)
            peers.push_back(absl::StrCat("\"127.0.0.1:", other->nodesPort, "\""));
    }
    return absl::StrJoin(peers, ", ");
}

NodeProcess &TestCluster::startNode(const NodeSpec &spec)
{
    auto node = std::make_unique<NodeProcess>();
    node->spec = spec;
    if (spec.target) {
        std::vector<std::string> flags = spec.target->flags;
        flags.push_back("--version_name=" + spec.target->version);
        node->target = std::make_unique<ChildProcess>("standin-target", flags);
        node->targetPort = portOf(*node->target);
    }
    node->callersPort = freePort();
    node->nodesPort = freePort();
    node->operatorsPort = freePort();
    node->settingsPath = writeTemporary(m_deployment + "-" + spec.name + ".json", settingsJson(*node));
    m_nodes.push_back(std::move(node));
    restartNode(*m_nodes.back());
    return *m_nodes.back();
}

void TestCluster::restartNode(NodeProcess &node)
{
    node.process = std::make_unique<ChildProcess>("dandeliondock-node",
                                                  std::vector<std::string>{"--settings=" + node.settingsPath});
}

NodeProcess &TestCluster::node(const std::string &name)
{
    const auto found =
            std::find_if(m_nodes.begin(), m_nodes.end(), [&name](const auto &node) { return node->spec.name == name; });
    if (found == m_nodes.end())
        throw std::runtime_error("no node named " + name);
    return **found;
}

int TestCluster::ticket(const NodeProcess &node, const std::vector<std::string> &arguments, std::string *output)
{
    std::vector<std::string> allArguments = {absl::StrCat("--node=127.0.0.1:", node.operatorsPort),
                                             "--key_file=" + m_keyFile};
    allArguments.insert(allArguments.end(), arguments.begin(), arguments.end());
    ChildProcess command("dandeliondock-ticket", allArguments);
    const std::string text = command.readAll();
    if (output != nullptr)
        *output = text;
    return command.wait();
}

int TestCluster::fileTicket(const NodeProcess &node, const std::string &json, std::string *output)
{
    const std::string path = writeTemporary(absl::StrCat(m_deployment, "-ticket-", ++m_ticketCount, ".json"), json);
    return ticket(node, {"file", path}, output);
}

SendResult TestCluster::operatorCall(const NodeProcess &node, const std::string &path)
{
    HttpRequest request{"GET", path, {}, {}};
    request.headers.add("X-Operator-Key", operatorKey);
    return m_client.send(loopback(node.operatorsPort), request, {});
}

std::optional<wire::NodeStatus> TestCluster::status(const NodeProcess &node)
{
    const SendResult result = operatorCall(node, "/status");
    if (!result.response.ok() || result.response->status != 200)
        return std::nullopt;
    wire::NodeStatus status;
    if (!parseJson(result.response->body, ErrorKind::InvalidMessage, "status", status).ok())
        return std::nullopt;
    return status;
}

double TestCluster::metric(const NodeProcess &node, const std::string &name)
{
    const SendResult result = operatorCall(node, "/metrics");
    if (!result.response.ok())
        return 0;
    double sum = 0;
    for (const absl::string_view line : absl::StrSplit(result.response->body, '\n')) {
        const bool matches = absl::StartsWith(line, name + " ") || absl::StartsWith(line, name + "{");
        double value = 0;
        if (matches && absl::SimpleAtod(line.substr(line.rfind(' ') + 1), &value))
            sum += value;
    }
    return sum;
}

bool TestCluster::allNodesAtRevision(std::uint64_t revision)
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
        const std::optional<wire::NodeStatus> nodeStatus = status(*node);
        return nodeStatus && nodeStatus->revision() >= revision;
    });
}

SendResult TestCluster::call(const NodeProcess &node, const HttpRequest &request, Milliseconds timeout)
{
    SendOptions options;
    options.timeout = timeout;
    return m_client.send(loopback(node.callersPort), request, options);
}

SendResult TestCluster::callPlatform(const HttpRequest &request)
{
    return m_client.send(loopback(m_platformPort), request, {});
}

} // namespace dandeliondock::testing
