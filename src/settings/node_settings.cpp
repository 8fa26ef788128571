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
constexpr std::uint64_t maxDrainMs = 600'000;
constexpr std::uint32_t maxSlots = 100'000;
constexpr std::size_t minKeyLength = 8;

struct NamedEndpoint
{
    std::string key;
    IpEndpoint endpoint;
};

// Reads a settings file whose types are right; a key that already has an error keeps only that one.
class SettingsReader
{
public:
    SettingsReader(const wire::NodeSettings &message, const GivenKeys &given, SettingsErrors &errors)
        : m_message(message), m_given(given), m_errors(errors)
    {
    }

    NodeSettings read()
    {
        readNames();
        m_settings.callers = readListener(m_message.callers(), "callers");
        m_settings.nodes = readListener(m_message.nodes(), "nodes");
        m_settings.operators = readListener(m_message.operators(), "operators");
        readKey();
        m_settings.store = readAddress("store_address", m_message.store_address());
        if (m_given.count("target") > 0)
            m_settings.target = readTarget(m_message.target());
        readPeers();
        readLimits();
        return m_settings;
    }

private:
    std::string readName(const std::string &key, const std::string &value)
    {
        const bool printable = std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < 127; });
        m_errors.require(!value.empty() && printable, key, absl::StrCat("\"", value, "\""),
                         "give a name without blanks");
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
                         "give an IP number");
        m_errors.require(message.port() <= maxPort, key + ".port", absl::StrCat(message.port()),
                         "give a port of 65535 at most; 0 takes a free one");
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
                             absl::StrCat("give another port than the listener ", other.key, " has"));
        }
        m_listeners.push_back(listener);
    }

    void readKey()
    {
        const std::string &key = m_message.operator_key();
        const bool printable = std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < 127; });
        m_errors.require(key.size() >= minKeyLength && printable, "operator_key", "(hidden)",
                         "give at least 8 printable characters without blanks");
        m_settings.operatorKey = key;
    }

    Address readAddress(const std::string &key, const std::string &value)
    {
        const std::string shown = absl::StrCat("\"", value, "\"");
        const std::optional<IpEndpoint> endpoint = parseIpEndpoint(value);
        m_errors.require(endpoint.has_value(), key, shown, "give IP:port, such as 10.0.0.1:9000");
        for (const NamedEndpoint &listener : m_listeners) {
            m_errors.require(!endpoint || !overlap(listener.endpoint, *endpoint), key, shown,
                             absl::StrCat("give an address that differs from this node's listener ", listener.key));
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
                         absl::StrCat(message.slots()), "give 1 to 100000");
        target.slots = SlotCount(message.slots());
        target.healthPath = message.health_path();
        m_errors.require(target.healthPath.empty() || target.healthPath.front() == '/', "target.health_path",
                         absl::StrCat("\"", target.healthPath, "\""), "begin the path with '/'");
        const Address &store = m_settings.store;
        m_errors.require(target.address != store, "target.address", absl::StrCat("\"", message.address(), "\""),
                         "give an address that differs from store_address");
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
                             absl::StrCat("\"", peer, "\""), "remove the address, which stands twice");
            m_settings.peers.push_back(address);
        }
    }

    // The value of a key that may be left out.
    std::uint64_t readLimit(const std::string &key, std::uint64_t value, std::uint64_t fallback, std::uint64_t least,
                            std::uint64_t most)
    {
        if (m_given.count(key) == 0)
            return fallback;
        m_errors.require(value >= least && value <= most, key, absl::StrCat(value),
                         absl::StrCat("give ", least, " to ", most, ", or leave it out for ", fallback));
        return value;
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
        m_settings.drainTimeout =
                Milliseconds(readLimit("drain_ms", m_message.drain_ms(),
                                       static_cast<std::uint64_t>(defaults.drainTimeout.count()), 1, maxDrainMs));
        if (m_given.count("log_level") > 0)
            m_settings.logLevel = m_message.log_level();
        const std::string &mode = m_message.distribution();
        m_settings.distribution = mode == "polling" ? DistributionMode::Polling : DistributionMode::Tree;
        m_errors.require(mode.empty() || mode == "tree" || mode == "polling", "distribution",
                         absl::StrCat("\"", mode, "\""), "give tree or polling, or leave it out for tree");
        const std::string &level = m_settings.logLevel;
        m_errors.require(level == "debug" || level == "info" || level == "warn" || level == "error", "log_level",
                         absl::StrCat("\"", level, "\""), "give debug, info, warn or error");
    }

    const wire::NodeSettings &m_message;
    const GivenKeys &m_given;
    SettingsErrors &m_errors;
    NodeSettings m_settings;
    std::vector<NamedEndpoint> m_listeners;
};

} // namespace

absl::StatusOr<NodeSettings> parseNodeSettings(const std::string &json)
{
    wire::NodeSettings message;
    SettingsErrors errors;
    const GivenKeys given = readSettingsJson(json, message, errors);
    NodeSettings settings = SettingsReader(message, given, errors).read();
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
