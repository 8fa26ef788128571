#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief Where a listener is opened.
struct ListenerSettings
{
    std::string address;
    std::uint16_t port = 0;
};

/// \brief The target beside a node.
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
    Tree,    ///< from its parent; the root from the store
    Polling, ///< every node from the store; a baseline for measurements
};

/// \brief Checked settings of a node.
struct NodeSettings
{
    DeploymentName deployment;
    NodeId node;
    RegionName region;
    DataCentreName dataCentre;
    ListenerSettings callers;
    ListenerSettings nodes;
    ListenerSettings operators;
    std::string operatorKey;
    Address store;
    RegionName storeRegion;
    std::vector<Address> peers;
    std::optional<TargetSettings> target;
    std::uint32_t fanOut = 8;
    Milliseconds pollHold{1'500};
    ByteCount maxBody{1U << 20U};
    Milliseconds drainTimeout{30'000};
    std::string logLevel = "info";
    DistributionMode distribution = DistributionMode::Tree;
};

/// \brief Reads and checks the text of a settings file. Thread-safe.
/// \return InvalidSettings naming every wrong key, its value and the remedy.
[[nodiscard]] absl::StatusOr<NodeSettings> parseNodeSettings(const std::string &json);

/// \brief Reads a whole file. Thread-safe.
[[nodiscard]] absl::StatusOr<std::string> readFile(const std::string &path);

} // namespace dandeliondock
