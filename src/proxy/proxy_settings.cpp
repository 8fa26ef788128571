#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/proxy/proxy_settings.h>
#include <dandeliondock/settings/ip_address.h>
#include <dandeliondock/settings/json_reader.h>
#include <dandeliondock/settings/settings_errors.h>

#include <absl/strings/str_cat.h>

#include <settings.pb.h>

#include <set>

namespace dandeliondock {

namespace {

// Part of retry_share that the budgets use. The rest allows for any 10 s touching 11 one-second slots of a budget, and
// for the floor of each proxy, which is added to the share.
constexpr double retryShareFactor = 0.7;
constexpr std::uint32_t retryFloor = 2;
constexpr double maxGraceSeconds = 600;
// The rest of the link is left for requests, control messages and the headers of packets.
constexpr double responseLinkShare = 0.92;
constexpr double maxLinkMbps = 1'000'000;
constexpr double bytesPerMegabit = 125'000;
constexpr double minMemoryMb = 64;
constexpr double maxMemoryMb = 1'000'000;
constexpr double bytesPerMegabyte = 1'000'000;
constexpr std::uint32_t minDescriptors = 256;
constexpr double minQuotaWindowSeconds = 0.5;
constexpr double maxTolerance = 10'000;
const std::set<std::string> logLevels{"debug", "info", "warn", "error"};

class ProxySettingsReader
{
public:
    ProxySettingsReader(const wire::ProxySettings &message, const GivenKeys &given, SettingsErrors &errors)
        : m_message(message), m_given(given), m_errors(errors)
    {
    }

    ProxySettings read()
    {
        ProxySettings settings;
        settings.node = NodeId(readName("node", m_message.node()));
        settings.region = RegionName(readName("region", m_message.region()));
        settings.dataCentre = DataCentreName(readName("data_centre", m_message.data_centre()));
        settings.callers = readAddress("callers", m_message.callers());
        settings.inbound = readAddress("door", m_message.door());
        settings.health = readAddress("health", m_message.health());
        settings.announcements = readAddress("announcements", m_message.announcements());
        settings.metrics = readAddress("metrics", m_message.metrics());
        settings.target = readAddress("target", m_message.target());
        settings.service = ServiceName(readName("service", m_message.service()));
        settings.store = readAddress("store", m_message.store());
        readOptionalSettings(settings);
        return settings;
    }

private:
    std::string readName(const std::string &key, const std::string &value)
    {
        m_errors.require(!value.empty(), key, absl::StrCat("\"", value, "\""), "must be a name");
        return value;
    }

    Address readAddress(const std::string &key, const std::string &value)
    {
        m_errors.require(parseIpEndpoint(value).has_value(), key, absl::StrCat("\"", value, "\""),
                         "must be an IP address and a port, such as 10.0.0.1:8080");
        return Address(value);
    }

    void readOptionalSettings(ProxySettings &settings)
    {
        if (m_given.contains("grace_s")) {
            const double grace = m_message.grace_s();
            m_errors.require(grace > 0 && grace <= maxGraceSeconds, "grace_s", absl::StrCat(grace),
                             "must be a number of seconds above 0 and at most 600");
            settings.grace = Milliseconds(static_cast<std::int64_t>(grace * 1'000));
        }
        double share = 0.2;
        if (m_given.contains("retry_share")) {
            share = m_message.retry_share();
            m_errors.require(share >= 0 && share <= 1, "retry_share", absl::StrCat(share),
                             "must be a fraction from 0 to 1");
        }
        settings.retries.requestShare = Share(static_cast<std::uint32_t>(share * retryShareFactor * fullShare.value()));
        settings.retries.floor = retryFloor;
        if (m_given.contains("link_mbps")) {
            const double mbps = m_message.link_mbps();
            const bool isValid = mbps >= 0 && mbps <= maxLinkMbps;
            m_errors.require(isValid, "link_mbps", absl::StrCat(mbps),
                             "must be a number of Mbit/s from 0, which stands for unlimited, to 1000000");
            if (isValid)
                settings.responseRate =
                        DataRate(static_cast<std::uint64_t>(mbps * bytesPerMegabit * responseLinkShare));
        }
        readMachineLimits(settings);
        readBounds(settings);
        if (!m_message.log_level().empty())
            settings.logLevel = m_message.log_level();
        m_errors.require(logLevels.contains(settings.logLevel), "log_level", settings.logLevel,
                         "must be debug, info, warn or error");
    }

    void readMachineLimits(ProxySettings &settings)
    {
        if (m_given.contains("memory_mb")) {
            const double megabytes = m_message.memory_mb();
            const bool isValid = megabytes >= minMemoryMb && megabytes <= maxMemoryMb;
            m_errors.require(isValid, "memory_mb", absl::StrCat(megabytes),
                             "must be a number of MB from 64 to 1000000");
            if (isValid)
                settings.memoryLimit = ByteCount(static_cast<std::uint64_t>(megabytes * bytesPerMegabyte));
        }
        if (m_given.contains("max_fds")) {
            m_errors.require(m_message.max_fds() >= minDescriptors, "max_fds", absl::StrCat(m_message.max_fds()),
                             "must be a number of descriptors from 256 on");
            settings.descriptorLimit = DescriptorCount(m_message.max_fds());
        }
    }

    void readBounds(ProxySettings &settings)
    {
        readMilliseconds("config_apply_ms", m_message.config_apply_ms(), settings.configApplyBound);
        readMilliseconds("evacuation_ms", m_message.evacuation_ms(), settings.evacuationBound);
        Milliseconds withdrawal{0};
        if (readMilliseconds("revoke_ms", m_message.revoke_ms(), withdrawal))
            settings.keyWithdrawalBound = withdrawal;
        double windowSeconds = std::chrono::duration<double>(settings.quota.window).count();
        readNumber("quota_window_s", m_message.quota_window_s(), minQuotaWindowSeconds, windowSeconds);
        settings.quota.window = Milliseconds(static_cast<std::int64_t>(windowSeconds * 1'000));
        readNumber("quota_excess", m_message.quota_excess(), 0, settings.quota.excess);
        settings.quota.slack = readAmount("quota_slack", m_message.quota_slack(), settings.quota.slack);
        readNumber("cold_excess", m_message.cold_excess(), 0, settings.cold.factor);
        settings.cold.slack = readAmount("cold_slack", m_message.cold_slack(), settings.cold.slack);
    }

    bool readMilliseconds(const std::string &key, std::uint32_t value, Milliseconds &result)
    {
        if (!m_given.contains(key))
            return false;
        const auto duration = checkedDuration(value);
        const bool isValid = value > 0 && duration.has_value();
        m_errors.require(isValid, key, absl::StrCat(value), "must be a number of ms above 0 and at most a day");
        if (isValid)
            result = *duration;
        return isValid;
    }

    void readNumber(const std::string &key, double value, double minimum, double &result)
    {
        if (!m_given.contains(key))
            return;
        const bool isValid = value >= minimum && value <= maxTolerance;
        m_errors.require(isValid, key, absl::StrCat(value),
                         absl::StrCat("must be a number from ", minimum, " to ", maxTolerance));
        if (isValid)
            result = value;
    }

    RequestAmount readAmount(const std::string &key, double value, RequestAmount preset)
    {
        double amount = preset.value();
        readNumber(key, value, 0, amount);
        return RequestAmount(amount);
    }

    const wire::ProxySettings &m_message;
    const GivenKeys &m_given;
    SettingsErrors &m_errors;
};

} // namespace

absl::StatusOr<ProxySettings> parseProxySettings(const std::string &json)
{
    wire::ProxySettings message;
    SettingsErrors errors;
    const GivenKeys given = readSettingsJson(json, message, errors);
    ProxySettings settings = ProxySettingsReader(message, given, errors).read();
    if (absl::Status status = errors.status(); !status.ok())
        return status;
    return settings;
}

} // namespace dandeliondock
