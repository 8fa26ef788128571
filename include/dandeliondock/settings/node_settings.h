#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief Address and port that a listener is bound to.
struct ListenerSettings
{
    std::string address;
    std::uint16_t port = 0; ///< 0 selects a free port
};

/// \brief The local target of a node, on the same instance.
struct TargetSettings
{
    TargetId id;
    Address address;
    ServiceName service;
    VersionName version;
    SlotCount slots;
    std::string healthPath;
};

/// \brief How a node receives revisions.
enum class DistributionMode {
    Tree,    ///< from its parent in the relay tree; the root reads the store
    Polling, ///< every node reads the store; a baseline for measurements
};

/// \brief Validated settings of a node.
struct NodeSettings
{
    DeploymentName deployment;
    NodeId node;
    RegionName region;
    DataCentreName dataCentre;
    ListenerSettings callers;
    ListenerSettings nodes;
    ListenerSettings operators;
    std::string operatorKey; ///< secret that operators send with their requests
    Address store;
    RegionName storeRegion;
    std::vector<Address> peers;
    std::optional<TargetSettings> target;
    std::uint32_t fanOut = 8;
    Milliseconds pollHold{1'500};
    ByteCount maxBody{1U << 20U};
    ByteCount memoryLimit{160'000'000}; ///< of the process
    DescriptorCount descriptorLimit{4'100};
    Milliseconds drainTimeout{30'000};
    std::string logLevel = "info";
    DistributionMode distribution = DistributionMode::Tree;
};

/// \brief Parses and validates the text of a settings file. Thread-safe.
/// \return InvalidSettings with every wrong key, its value (unless it may be a secret) and what the value must be.
[[nodiscard]] absl::StatusOr<NodeSettings> parseNodeSettings(const std::string &json);

/// \brief Returns the content of a file. Thread-safe.
/// \return NotFound if the file cannot be opened.
[[nodiscard]] absl::StatusOr<std::string> readFile(const std::string &path);

} // namespace dandeliondock
