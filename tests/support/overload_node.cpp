#include "overload_node.h"

#include "crowd.h"
#include "overload_deployment.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <iostream>
#include <stdexcept>
#include <thread>

namespace dandeliondock::testing {

namespace {

std::string settings()
{
    return absl::StrCat(R"(, "log_level": "error", "memory_mb": )", OverloadNode::memoryLimit / 1'000'000,
                        R"(, "max_fds": )", OverloadNode::descriptorLimit, R"(, "max_body_bytes": )",
                        OverloadNode::maxBodyBytes);
}

constexpr const char *ticket = R"({"number": 1, "author": "test", "resources": [
    {"version": {"service": "ledger", "name": "v1"}},
    {"service": {"name": "ledger", "version": "v1", "slots_per_target": 20, "connections_per_target": 130}},
    {"route": {"name": "orders", "path_prefix": "/orders", "service": "ledger", "timeout_ms": 15000,
               "work_class": "WORK_CLASS_CRITICAL"}}]})";

// Sends a request on a connection of its own, and returns whether the response begins with the status line. Refused
// connections count as no response.
bool isAnswered(std::uint16_t port, const std::string &head, const std::string &statusLine)
{
    try {
        const CrowdClient client(port);
        client.send(absl::StrCat(head, "Host: h\r\nConnection: close\r\n\r\n"));
        return absl::StartsWith(client.readAll(), statusLine);
    } catch (const std::runtime_error &) {
        return false;
    }
}

} // namespace

OverloadNode::OverloadNode(const std::vector<std::string> &targetFlags)
    : m_cluster("overload", "east-mids", settings()),
      m_node(&m_cluster.startNode({"one", "east-mids", "east-mids-1", TargetSpec{"ledger", "v1", 20, targetFlags}}))
{
    REQUIRE(eventually([this] { return m_cluster.status(*m_node).has_value(); }, convergenceLimit));
    REQUIRE(eventually([this] { return m_cluster.fileTicket(*m_node, ticket) == 0; }, convergenceLimit));
    REQUIRE(answersOrdinaryRequests());
}

bool OverloadNode::answersOrdinaryRequests() const
{
    // An empty poll names no deployment, which a node answers with status 200.
    return eventually(
            [this] {
                return isAnswered(callersPort(), "GET /orders/1 HTTP/1.1\r\n", "HTTP/1.1 200")
                       && isAnswered(nodesPort(), "POST /control/poll HTTP/1.1\r\nContent-Length: 0\r\n",
                                     "HTTP/1.1 200")
                       && isAnswered(operatorsPort(), "GET /status HTTP/1.1\r\nX-Operator-Key: test-key\r\n",
                                     "HTTP/1.1 200");
            },
            convergenceLimit);
}

void OverloadNode::checkUsage(const std::string &title) const
{
    const ProcessUsage usage = usageOf(*m_node->process);
    std::cout << title << ": running=" << usage.isRunning << " VmHWM=" << usage.peakBytes
              << " VmRSS=" << usage.residentBytes << " descriptors=" << usage.descriptors
              << " cpu_s=" << usage.cpuSeconds << std::endl;
    CHECK(usage.isRunning);
    CHECK(usage.peakBytes <= memoryLimit);
    CHECK(usage.residentBytes <= memoryLimit);
    CHECK(usage.descriptors <= descriptorLimit);
}

} // namespace dandeliondock::testing
