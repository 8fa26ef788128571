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

/// \brief Stand-in target to start together with a node.
struct TargetSpec
{
    std::string service;
    std::string version = "v1";
    std::uint32_t slots = 20;
    std::vector<std::string> flags; ///< additional command-line flags for standin-target
};

/// \brief Describes a node to start.
struct NodeSpec
{
    std::string name;
    std::string region;
    std::string dataCentre;
    std::optional<TargetSpec> target;
};

/// \brief Process of a node, with the process of its target and their ports.
struct NodeProcess
{
    NodeSpec spec;
    std::uint16_t callersPort = 0;
    std::uint16_t nodesPort = 0;
    std::uint16_t operatorsPort = 0;
    std::uint16_t targetPort = 0;
    std::string settingsPath;
    std::unique_ptr<ChildProcess> target;
    std::unique_ptr<ChildProcess> process;
};

/// \brief Starts a platform stand-in and node processes on the loopback interface. Not thread-safe.
class TestCluster
{
public:
    /// \param storeRegion region of the platform's service
    /// \param extraSettings additional members for the JSON settings of the nodes; begins with a comma
    TestCluster(std::string deployment, std::string storeRegion, std::string extraSettings = {});

    /// \brief Gives nodes that are started from now on the earlier nodes of their region as peers.
    void usePeers() { m_usePeers = true; }

    /// \brief Starts a node and, if it has one, its target.
    NodeProcess &startNode(const NodeSpec &spec);

    /// \brief Starts the process of a node again with the same settings, then kills the previous process if it
    /// still runs.
    void restartNode(NodeProcess &node);

    [[nodiscard]] std::vector<std::unique_ptr<NodeProcess>> &nodes() { return m_nodes; }

    /// \brief Returns the node with a name.
    ///
    /// \remark Throws std::runtime_error if there is none.
    [[nodiscard]] NodeProcess &node(const std::string &name);

    [[nodiscard]] ChildProcess &platform() { return *m_platform; }

    [[nodiscard]] std::uint16_t platformPort() const { return m_platformPort; }

    /// \brief Runs dandeliondock-ticket with a node as its server.
    ///
    /// \param output receives the standard output of the command, unless null
    /// \return The exit code of the command.
    int ticket(const NodeProcess &node, const std::vector<std::string> &arguments, std::string *output = nullptr);

    /// \brief Files a ticket, given as JSON, with dandeliondock-ticket through a node.
    ///
    /// \param output receives the standard output of the command, unless null
    /// \return The exit code of the command.
    int fileTicket(const NodeProcess &node, const std::string &json, std::string *output = nullptr);

    /// \brief Returns the status page of a node; empty if the node doesn't respond.
    [[nodiscard]] std::optional<wire::NodeStatus> status(const NodeProcess &node);

    /// \brief Returns a counter or gauge from a node's metrics page, summed over its labels; 0 if it is absent.
    [[nodiscard]] double metric(const NodeProcess &node, const std::string &name);

    /// \brief Whether every node has applied \c revision or a later one.
    [[nodiscard]] bool allNodesAtRevision(std::uint64_t revision);

    /// \brief Sends a request to the callers' listener of a node.
    [[nodiscard]] SendResult call(const NodeProcess &node, const HttpRequest &request,
                                  Milliseconds timeout = Milliseconds{2'000});

    /// \brief Sends a request to the platform stand-in.
    [[nodiscard]] SendResult callPlatform(const HttpRequest &request);

private:
    [[nodiscard]] std::string settingsJson(const NodeProcess &node) const;
    [[nodiscard]] std::string peersJson(const NodeProcess &node) const;
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
    int m_ticketCount = 0;
};

/// \brief Reads the port that a stand-in prints on its first line of output.
///
/// \remark Throws std::runtime_error if the line has no port.
[[nodiscard]] std::uint16_t portOf(ChildProcess &process);

} // namespace dandeliondock::testing
