#include <dandeliondock/settings/node_settings.h>

#include <dandeliondock/core/error.h>
#include <dandeliondock/settings/ip_address.h>
#include <dandeliondock/settings/json_reader.h>
#include <dandeliondock/settings/settings_errors.h>

#include <absl/strings/str_cat.h>

#include <settings.pb.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace dandeliondock {

namespace {

constexpr std::uint32_t maxPort = 65'535;
constexpr std::uint64_t maxFanOut = 64;
constexpr std::uint64_t minPollHoldMs = 50;
constexpr std::uint64_t maxPollHoldMs = 30'000;
constexpr std::uint64_t maxBodyBytes = 1U << 30U;
constexpr std::uint64_t maxDrainTimeoutMs = 600'000;
constexpr std::uint32_t maxSlots = 100'000;
constexpr std::size_t minOperatorKeyLength = 8;
constexpr double minMemoryMb = 64;
constexpr double maxMemoryMb = 1'000'000;
constexpr double bytesPerMegabyte = 1'000'000;
constexpr std::uint32_t minDescriptors = 256;
// Messages have 55 percent of the memory. A chunked body needs twice its length while its buffer grows.
constexpr std::uint64_t bodyMemoryDivisor = 4;

struct NamedEndpoint
{
    std::string key;
    IpEndpoint endpoint;
};

// Validates the values of a parsed settings file. A key that already has an error gets no second one.
class SettingsReader
{
public:
    SettingsReader(const wire::NodeSettings &message, const GivenKeys &givenKeys, SettingsErrors &errors)
        : m_message(message), m_givenKeys(givenKeys), m_errors(errors)
    {
    }

    NodeSettings read()
    {
        readNames();
        m_settings.callers = readListener(m_message.callers(), "callers");
        m_settings.nodes = readListener(m_message.nodes(), "nodes");
        m_settings.operators = readListener(m_message.operators(), "operators");
        readOperatorKey();
        m_settings.store = readAddress("store_address", m_message.store_address());
        if (m_givenKeys.count("target") > 0)
            m_settings.target = readTarget(m_message.target());
        readPeers();
        readLimits();
        return m_settings;
    }

private:
    std::string readName(const std::string &key, const std::string &value)
    {
        const bool isPrintable = std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < 127; });
        m_errors.require(!value.empty() && isPrintable, key, absl::StrCat("\"", value, "\""),
                         "must be a name of printable ASCII characters without spaces");
        return value;
    }

    void readNames()
    {
        m_settings.deployment = DeploymentName(readName("deployment", m_message.deployment()));
        m_settings.node = NodeId(readName("node", m_message.node()));
        m_settings.region = RegionName(readName("region", m_message.region()));
        m_settings.dataCentre = DataCentreName(readName("data_centre", m_message.data_centre()));
        m_settings.storeRegion = RegionName(readName("store_region", m_message.store_region()));
    }

    ListenerSettings readListener(const wire::ListenerSettings &message, const std::string &key)
    {
        const std::optional<std::string> ip = parseIp(message.address());
        m_errors.require(ip.has_value(), key + ".address", absl::StrCat("\"", message.address(), "\""),
                         "must be an IP address");
        m_errors.require(message.port() <= maxPort, key + ".port", absl::StrCat(message.port()),
                         "must be 65535 or less; 0 selects a free port");
        const auto port = static_cast<std::uint16_t>(std::min(message.port(), maxPort));
        if (ip)
            checkListener({key, {*ip, port}});
        return {message.address(), port};
    }

    void checkListener(const NamedEndpoint &listener)
    {
        for (const NamedEndpoint &other : m_listeners) {
            m_errors.require(!overlap(other.endpoint, listener.endpoint), listener.key + ".port",
                             absl::StrCat(listener.endpoint.port),
                             absl::StrCat("must differ from the port of ", other.key, ", whose address overlaps"));
        }
        m_listeners.push_back(listener);
    }

    void readOperatorKey()
    {
        const std::string &key = m_message.operator_key();
        const bool isPrintable = std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < 127; });
        m_errors.require(key.size() >= minOperatorKeyLength && isPrintable, "operator_key", "(hidden)",
                         "must have at least 8 printable characters and no spaces");
        m_settings.operatorKey = key;
    }

    Address readAddress(const std::string &key, const std::string &value)
    {
        const std::string quoted = absl::StrCat("\"", value, "\"");
        const std::optional<IpEndpoint> endpoint = parseIpEndpoint(value);
        m_errors.require(endpoint.has_value(), key, quoted, "must be IP:port, such as 10.0.0.1:9000");
        for (const NamedEndpoint &listener : m_listeners) {
            m_errors.require(!endpoint || !overlap(listener.endpoint, *endpoint), key, quoted,
                             absl::StrCat("must differ from the address of this node's listener ", listener.key));
        }
        return Address(value);
    }

    TargetSettings readTarget(const wire::TargetSettings &message)
    {
        TargetSettings target;
        target.id = TargetId(readName("target.id", message.id()));
        target.address = readAddress("target.address", message.address());
        target.service = ServiceName(readName("target.service", message.service()));
        target.version = VersionName(readName("target.version", message.version()));
        m_errors.require(message.slots() > 0 && message.slots() <= maxSlots, "target.slots",
                         absl::StrCat(message.slots()), "must be 1 to 100000");
        target.slots = SlotCount(message.slots());
        target.healthPath = message.health_path();
        m_errors.require(target.healthPath.empty() || target.healthPath.front() == '/', "target.health_path",
                         absl::StrCat("\"", target.healthPath, "\""), "must begin with '/'");
        const Address &store = m_settings.store;
        m_errors.require(target.address != store, "target.address", absl::StrCat("\"", message.address(), "\""),
                         "must differ from store_address");
        return target;
    }

    void readPeers()
    {
        int index = 0;
        for (const std::string &peer : m_message.peers()) {
            const std::string key = absl::StrCat("peers[", index++, "]");
            const Address address = readAddress(key, peer);
            const auto &peers = m_settings.peers;
            m_errors.require(std::find(peers.begin(), peers.end(), address) == peers.end(), key,
                             absl::StrCat("\"", peer, "\""), "must not repeat an earlier entry");
            m_settings.peers.push_back(address);
        }
    }

    // Returns the value of an optional key, or its default if the key is absent.
    std::uint64_t readLimit(const std::string &key, std::uint64_t value, std::uint64_t defaultValue,
                            std::uint64_t minValue, std::uint64_t maxValue)
    {
        if (m_givenKeys.count(key) == 0)
            return defaultValue;
        m_errors.require(value >= minValue && value <= maxValue, key, absl::StrCat(value),
                         absl::StrCat("must be ", minValue, " to ", maxValue, "; the default is ", defaultValue));
        return value;
    }

    void readMachineLimits()
    {
        if (m_givenKeys.count("memory_mb") > 0) {
            const double megabytes = m_message.memory_mb();
            const bool isValid = megabytes >= minMemoryMb && megabytes <= maxMemoryMb;
            m_errors.require(isValid, "memory_mb", absl::StrCat(megabytes),
                             "must be a number of MB from 64 to 1000000; the default is 160");
            if (isValid)
                m_settings.memoryLimit = ByteCount(static_cast<std::uint64_t>(megabytes * bytesPerMegabyte));
        }
        if (m_givenKeys.count("max_fds") > 0) {
            m_errors.require(m_message.max_fds() >= minDescriptors, "max_fds", absl::StrCat(m_message.max_fds()),
                             "must be a number of descriptors from 256 on; the default is 4100");
            m_settings.descriptorLimit = DescriptorCount(m_message.max_fds());
        }
        const std::uint64_t longestBody = m_settings.memoryLimit.value() / bodyMemoryDivisor;
        m_errors.require(m_settings.maxBody.value() <= longestBody, "max_body_bytes",
                         absl::StrCat(m_settings.maxBody.value()),
                         absl::StrCat("must be at most a quarter of memory_mb, ", longestBody, "; raise memory_mb"));
    }

    void readLimits()
    {
        const NodeSettings defaults;
        m_settings.fanOut =
                static_cast<std::uint32_t>(readLimit("fan_out", m_message.fan_out(), defaults.fanOut, 1, maxFanOut));
        m_settings.pollHold = Milliseconds(readLimit("poll_hold_ms", m_message.poll_hold_ms(),
                                                     static_cast<std::uint64_t>(defaults.pollHold.count()),
                                                     minPollHoldMs, maxPollHoldMs));
        m_settings.maxBody = ByteCount(
                readLimit("max_body_bytes", m_message.max_body_bytes(), defaults.maxBody.value(), 1, maxBodyBytes));
        readMachineLimits();
        m_settings.drainTimeout = Milliseconds(readLimit("drain_ms", m_message.drain_ms(),
                                                         static_cast<std::uint64_t>(defaults.drainTimeout.count()), 1,
                                                         maxDrainTimeoutMs));
        if (m_givenKeys.count("log_level") > 0)
            m_settings.logLevel = m_message.log_level();
        const std::string &mode = m_message.distribution();
        m_settings.distribution = mode == "polling" ? DistributionMode::Polling : DistributionMode::Tree;
        m_errors.require(mode.empty() || mode == "tree" || mode == "polling", "distribution",
                         absl::StrCat("\"", mode, "\""), "must be tree or polling; the default is tree");
        const std::string &level = m_settings.logLevel;
        m_errors.require(level == "debug" || level == "info" || level == "warn" || level == "error", "log_level",
                         absl::StrCat("\"", level, "\""), "must be debug, info, warn or error");
    }

    const wire::NodeSettings &m_message;
    const GivenKeys &m_givenKeys;
    SettingsErrors &m_errors;
    NodeSettings m_settings;
    std::vector<NamedEndpoint> m_listeners;
};

} // namespace

absl::StatusOr<NodeSettings> parseNodeSettings(const std::string &json)
{
    wire::NodeSettings message;
    SettingsErrors errors;
    const GivenKeys givenKeys = readSettingsJson(json, message, errors);
    NodeSettings settings = SettingsReader(message, givenKeys, errors).read();
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
