#pragma once

#include <dandeliondock/attempts/attempt_plan.h>
#include <dandeliondock/attempts/retry_budget.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/forwarder_counters.h>
#include <dandeliondock/proxy/header_names.h>
#include <dandeliondock/proxy/inbound_handler.h>
#include <dandeliondock/proxy/proxy_config.h>
#include <dandeliondock/proxy/service_versions.h>
#include <dandeliondock/proxy/target_balancer.h>
#include <dandeliondock/proxy/weighted_choice.h>

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>

namespace dandeliondock {

/// \brief Time after the deadline in which a door's own end of a request is still awaited.
inline constexpr Milliseconds inboundResponseGrace{120};
/// \brief A request may wait this long for a slot even if its response is then of less use: short requests are mostly
/// calls of running ones, whose whole work is lost with them.
inline constexpr Milliseconds minQueueTimeout{250};
/// \brief Shortest and longest time after which a refused caller may come back: a queue drains within it.
inline constexpr Milliseconds shortestRetryAfter{60};
inline constexpr Milliseconds longestRetryAfter{400};
/// \brief Time between two lines that tell that the budget for further attempts at a service is spent.
inline constexpr Milliseconds spentLogInterval{1'000};

/// \brief What a forwarder works with.
struct ForwarderDependencies
{
    EventLoop *loop = nullptr;
    AsyncHttpClient *client = nullptr;
    InboundHandler *inbound = nullptr;
    Address inboundAddress;
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    RandomSource random;
    HeaderNames protocol;
    Locality self;
    ServiceName callerService; ///< service of the target on this instance
    RetryBudgetLimits retries;
};

/// \brief Takes the requests of the callers on this instance and brings each to one target.
///
/// \remark Every method is to be called on the loop's thread.
class Forwarder
{
public:
    explicit Forwarder(ForwarderDependencies parts);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// \brief Takes a caller's request.
    void handle(const HttpRequestContextPtr &exchange);

    void setConfig(ProxyConfigPtr config);
    void setVersions(const ServiceVersions &versions);
    void setEndpoint(const Endpoint &endpoint);
    void removeEndpoint(const Address &door);
    void setCallerService(const ServiceName &service) { m_parts.callerService = service; }

    /// \brief The versions of a service; null when nothing is known of them. Valid until the next change.
    [[nodiscard]] const ServiceVersions *versions(const ServiceName &service) const;

    [[nodiscard]] const ProxyConfigPtr &config() const noexcept { return m_config; }

    /// \brief When a request to another service last failed or was refused; the target's own calls are among these.
    [[nodiscard]] MonotonicTime lastDependencyFailure() const noexcept { return m_lastFailure; }

private:
    class Session;

    [[nodiscard]] VersionChoice chooseVersionOf(const ServiceName &service);
    [[nodiscard]] const std::optional<VersionSplit> &splitFor(const ServiceVersions &versions);
    struct ServiceRetries
    {
        explicit ServiceRetries(const RetryBudgetLimits &limits) : budget(limits) {}

        RetryBudget budget;
        MonotonicTime loggedAt;
    };

    [[nodiscard]] ServiceRetries &retriesOf(const ServiceName &service);
    void noteFailure(const ServiceName &service);
    void logSpent(const ServiceName &service, MonotonicTime now);
    void noteResponseSize(const RouteName &route, std::size_t bytes);
    [[nodiscard]] Milliseconds retryAfter(Microseconds hint);

    ForwarderDependencies m_parts;
    ForwarderCounters m_counters;
    ProxyConfigPtr m_config;
    TargetBalancer m_placement;
    WeightedChoice m_weights;
    absl::flat_hash_map<RouteName, double> m_responseSizes; ///< mean bytes by route
    LogRateLimiter m_attemptLimiter;
    LogRateLimiter m_endLimiter;
    MonotonicTime m_lastFailure;
    absl::flat_hash_map<ServiceName, ServiceVersions> m_versions;
    /// Divisions of traffic by service, until the versions or the targets change.
    absl::flat_hash_map<ServiceName, std::optional<VersionSplit>> m_splits;
    absl::flat_hash_map<ServiceName, std::unique_ptr<ServiceRetries>> m_retries;
};

} // namespace dandeliondock
