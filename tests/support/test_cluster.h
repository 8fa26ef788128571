#pragma once

#include "child_process.h"

#include <dandeliondock/http/client.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <status.pb.h>

namespace dandeliondock::testing {

/// \brief A stand-in target to start beside a node.
struct TargetSpec
{
    std::string service;
    std::string version = "v1";
    std::uint32_t slots = 20;
    std::vector<std::string> flags; ///< further flags of standin-target
};

/// \brief A node to start.
struct NodeSpec
{
    std::string name;
    std::string region;
    std::string dataCentre;
    std::optional<TargetSpec> target;
};

/// \brief A node process with its target and its ports.
struct NodeProcess
{
    NodeSpec plan;
    std::uint16_t callersPort = 0;
    std::uint16_t nodesPort = 0;
    std::uint16_t operatorsPort = 0;
    std::uint16_t targetPort = 0;
    std::string settingsPath;
    std::unique_ptr<ChildProcess> target;
    std::unique_ptr<ChildProcess> process;
};

/// \brief A platform stand-in and node processes on the loopback interface. One thread at a time.
class TestCluster
{
public:
    /// \param storeRegion region of the platform's service
    /// \param extraSettings members of the nodes' settings, as JSON text beginning with a comma
    TestCluster(std::string deployment, std::string storeRegion, std::string extraSettings = {});

    /// \brief Nodes started from now on know the earlier nodes of their region as peers.
    void usePeers() { m_usePeers = true; }

    /// \brief Starts a node, and its target when it has one.
    NodeProcess &startNode(const NodeSpec &plan);

    /// \brief Starts the process of a node again with the same settings.
    void restartNode(NodeProcess &node);

    [[nodiscard]] std::vector<std::unique_ptr<NodeProcess>> &nodes() { return m_nodes; }

    [[nodiscard]] NodeProcess &node(const std::string &name);

    [[nodiscard]] ChildProcess &platform() { return *m_platform; }

    [[nodiscard]] std::uint16_t platformPort() const { return m_platformPort; }

    /// \brief Runs dandeliondock-ticket against a node; its exit code, and its output in \c output.
    int ticket(const NodeProcess &node, const std::vector<std::string> &arguments, std::string *output = nullptr);

    /// \brief Files the text of a ticket through a node; the exit code of dandeliondock-ticket.
    int fileTicket(const NodeProcess &node, const std::string &json, std::string *output = nullptr);

    /// \brief The status page of a node; empty when it does not respond.
    [[nodiscard]] std::optional<wire::NodeStatus> status(const NodeProcess &node);

    /// \brief A counter or gauge of a node's metrics page, summed over reasons; 0 when it is absent.
    [[nodiscard]] double metric(const NodeProcess &node, const std::string &name);

    /// \brief Whether every node holds at least \c revision.
    [[nodiscard]] bool allNodesAtRevision(std::uint64_t revision);

    /// \brief Sends a request to a node's callers' listener.
    [[nodiscard]] SendResult call(const NodeProcess &node, const HttpRequest &request,
                                  Milliseconds timeout = Milliseconds{2'000});

    /// \brief Sends a request to the platform stand-in.
    [[nodiscard]] SendResult callPlatform(const HttpRequest &request);

private:
    [[nodiscard]] std::string settingsOf(const NodeProcess &node) const;
    [[nodiscard]] std::string peersOf(const NodeProcess &node) const;
    [[nodiscard]] SendResult operatorCall(const NodeProcess &node, const std::string &path);

    std::string m_deployment;
    std::string m_storeRegion;
    std::string m_extraSettings;
    std::string m_keyFile;
    bool m_usePeers = false;
    HttpClient m_client;
    std::unique_ptr<ChildProcess> m_platform;
    std::uint16_t m_platformPort = 0;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    int m_tickets = 0;
};

/// \brief The port that a stand-in printed on its first line.
[[nodiscard]] std::uint16_t portOf(ChildProcess &process);

} // namespace dandeliondock::testing
