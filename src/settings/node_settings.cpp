#include <dandeliondock/settings/node_settings.h>

#include <dandeliondock/codec/bytes.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <settings.pb.h>

#include <fstream>
#include <sstream>

namespace dandeliondock {

namespace {

constexpr std::uint32_t maxPort = 65'535;
constexpr std::uint32_t maxFanOut = 64;

class ErrorList
{
public:
    void require(bool holds, absl::string_view key, absl::string_view remedy)
    {
        if (!holds)
            m_errors.push_back(absl::StrCat(key, ": ", remedy));
    }

    [[nodiscard]] absl::Status status() const
    {
        if (m_errors.empty())
            return absl::OkStatus();
        return makeError(ErrorKind::InvalidSettings, absl::StrJoin(m_errors, "; "));
    }

private:
    std::vector<std::string> m_errors;
};

ListenerSettings readListener(const wire::ListenerSettings &message, absl::string_view key, ErrorList &errors)
{
    errors.require(!message.address().empty(), absl::StrCat(key, ".address"), "give an IP number");
    errors.require(message.port() <= maxPort, absl::StrCat(key, ".port"), "give a port of 65535 at most");
    return {message.address(), static_cast<std::uint16_t>(message.port())};
}

TargetSettings readTarget(const wire::TargetSettings &message, ErrorList &errors)
{
    errors.require(!message.id().empty(), "target.id", "give the target a name");
    errors.require(!message.address().empty(), "target.address", "give IP:port");
    errors.require(!message.service().empty(), "target.service", "give the service's name");
    errors.require(!message.version().empty(), "target.version", "give the version's name");
    errors.require(message.slots() > 0, "target.slots", "give a number greater than 0");
    return {TargetId(message.id()),         Address(message.address()), ServiceName(message.service()),
            VersionName(message.version()), SlotCount(message.slots()), message.health_path()};
}

void readLimits(const wire::NodeSettings &message, NodeSettings &settings, ErrorList &errors)
{
    if (message.fan_out() != 0)
        settings.fanOut = message.fan_out();
    if (message.poll_hold_ms() != 0)
        settings.pollHold = Milliseconds(message.poll_hold_ms());
    if (message.max_body_bytes() != 0)
        settings.maxBody = ByteCount(message.max_body_bytes());
    if (message.drain_ms() != 0)
        settings.drain = Milliseconds(message.drain_ms());
    if (!message.log_level().empty())
        settings.logLevel = message.log_level();
    const bool knownLevel = settings.logLevel == "debug" || settings.logLevel == "info" || settings.logLevel == "warn"
                            || settings.logLevel == "error";
    errors.require(knownLevel, "log_level", "give debug, info, warn or error");
    errors.require(settings.fanOut <= maxFanOut, "fan_out", "give 1 to 64");
    const bool polling = message.distribution() == "polling";
    settings.distribution = polling ? DistributionMode::Polling : DistributionMode::Tree;
    errors.require(polling || message.distribution().empty() || message.distribution() == "tree", "distribution",
                   "give tree or polling");
}

} // namespace

absl::StatusOr<NodeSettings> parseNodeSettings(const std::string &json)
{
    wire::NodeSettings message;
    if (absl::Status status = parseJson(json, ErrorKind::InvalidSettings, "settings", message); !status.ok())
        return status;
    ErrorList errors;
    NodeSettings settings;
    settings.deployment = DeploymentName(message.deployment());
    settings.node = NodeId(message.node());
    settings.region = RegionName(message.region());
    settings.dataCentre = DataCentreName(message.data_centre());
    settings.operatorKey = message.operator_key();
    settings.store = Address(message.store_address());
    settings.storeRegion = RegionName(message.store_region());
    for (const std::string &peer : message.peers())
        settings.peers.emplace_back(peer);
    settings.callers = readListener(message.callers(), "callers", errors);
    settings.nodes = readListener(message.nodes(), "nodes", errors);
    settings.operators = readListener(message.operators(), "operators", errors);
    if (message.has_target())
        settings.target = readTarget(message.target(), errors);
    errors.require(!message.deployment().empty(), "deployment", "give the deployment's name");
    errors.require(!message.node().empty(), "node", "give the node a unique name");
    errors.require(!message.region().empty(), "region", "give the region's name");
    errors.require(!message.data_centre().empty(), "data_centre", "give the data centre's name");
    errors.require(!message.operator_key().empty(), "operator_key", "give a key for the operators' listener");
    errors.require(!message.store_address().empty(), "store_address", "give IP:port of the platform's service");
    errors.require(!message.store_region().empty(), "store_region", "give the region of the platform's service");
    readLimits(message, settings, errors);
    if (absl::Status status = errors.status(); !status.ok())
        return status;
    return settings;
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(ErrorKind::NotFound, absl::StrCat("cannot read ", path));
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace dandeliondock
