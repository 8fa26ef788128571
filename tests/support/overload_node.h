#pragma once

#include "support/test_cluster.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace dandeliondock::testing {

/// \brief A node with a target. Its limits are lowered, so that few clients reach them.
class OverloadNode
{
public:
    static constexpr std::uint64_t memoryLimit = 64'000'000; ///< "memory_mb" of the node, in bytes
    static constexpr std::size_t descriptorLimit = 256;      ///< "max_fds" of the node
    static constexpr std::size_t maxBodyBytes = 4'194'304;   ///< "max_body_bytes" of the node
    static constexpr std::chrono::seconds convergenceLimit{25};

    /// \param targetFlags additional command-line flags of the target
    explicit OverloadNode(const std::vector<std::string> &targetFlags = {});

    /// \brief Sends an ordinary request to each listener until all three have answered one; returns false if one has
    /// not within convergenceLimit.
    [[nodiscard]] bool answersOrdinaryRequests() const;

    /// \brief Checks that the node runs, and that its memory and descriptors are within its settings. Prints the
    /// figures.
    void checkUsage(const std::string &title) const;

    [[nodiscard]] std::uint16_t callersPort() const { return m_node->callersPort; }
    [[nodiscard]] std::uint16_t nodesPort() const { return m_node->nodesPort; }
    [[nodiscard]] std::uint16_t operatorsPort() const { return m_node->operatorsPort; }

private:
    TestCluster m_cluster;
    NodeProcess *m_node;
};

} // namespace dandeliondock::testing
