#pragma once

#include <dandeliondock/admission/attempt_gate.h>
#include <dandeliondock/attempts/attempt_plan.h>
#include <dandeliondock/attempts/retry_budget.h>
#include <dandeliondock/config/config_lease.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/places/region_rules.h>
#include <dandeliondock/proxy/client_error_counters.h>
#include <dandeliondock/proxy/forwarder_counters.h>
#include <dandeliondock/proxy/header_names.h>
#include <dandeliondock/proxy/inbound_handler.h>
#include <dandeliondock/proxy/key_check.h>
#include <dandeliondock/proxy/proxy_config.h>
#include <dandeliondock/proxy/response_sizes.h>
#include <dandeliondock/proxy/service_versions.h>
#include <dandeliondock/proxy/target_balancer.h>
#include <dandeliondock/proxy/weighted_choice.h>
#include <dandeliondock/quotas/quota_decision.h>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace dandeliondock {

/// \brief Time after a request's deadline for which the result of another proxy's inbound handler is still awaited.
inline constexpr Milliseconds inboundResponseGrace{120};
/// \brief Time for which a request may wait for a slot even if the target latency of its route is shorter. A later
/// response is less useful, but short requests are mostly calls made by running requests, whose work is lost when the
/// call fails.
inline constexpr Milliseconds minQueueTimeout{250};
/// \brief Bounds of the base retry delay given to a refused caller; an inbound queue drains within this time.
inline constexpr Milliseconds shortestRetryAfter{60};
inline constexpr Milliseconds longestRetryAfter{400};
/// \brief Time between two log lines which report that the retry budget of a service is exhausted.
inline constexpr Milliseconds retryBudgetLogInterval{1'000};

/// \brief Dependencies of the forwarder. The pointers are not owned and must outlive it.
struct ForwarderDependencies
{
    EventLoop *loop = nullptr;
    AsyncHttpClient *client = nullptr;
    InboundHandler *inbound = nullptr;
    Address inboundAddress; ///< inbound address of this proxy
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    RandomSource random;
    HeaderNames headerNames;
    Locality self;             ///< region and data centre of this proxy
    ServiceName callerService; ///< service of the target on this instance
    RetryBudgetLimits retries;
    std::optional<Milliseconds> keyWithdrawalBound; ///< time after which a withdrawn key must not be accepted
    Milliseconds configApplyBound{3'000};           ///< time in which a configuration must be followed
    /// Decides whether the quota of a client account admits a request.
    std::function<QuotaDecision(const AccountName &, MonotonicTime now)> admitRequest;
    /// Called for a request that admitRequest() admitted at \c admittedAt and that no target has run.
    std::function<void(const AccountName &, MonotonicTime admittedAt)> requestDidNotRun;
    /// Accounts for a response that is kept during another attempt, until the result is destroyed; returns null if
    /// there is no memory for it. Without this hook, responses are kept without a limit.
    std::function<std::shared_ptr<const void>(ByteCount)> keepResponse;
};

/// \brief Forwards the requests of callers on this instance, each to one target at a time.
///
/// \remark Every method must be called on the loop's thread.
class Forwarder
{
public:
    explicit Forwarder(ForwarderDependencies dependencies);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// \brief Forwards a caller's request and responds to it.
    void handle(const HttpRequestContextPtr &context);

    /// \brief Sets the configuration unless its revision is not newer than the current one.
    void setConfig(ProxyConfigPtr config);
    /// \brief Extends the time for which the configuration may be relied on. Has no effect if the one in force is older
    /// than the confirmed one.
    void confirmConfig(const ConfigConfirmed &confirmed);
    /// \brief Replaces the versions of one service.
    void setVersions(const ServiceVersions &versions);
    /// \brief Adds or updates a target; removes it unless its state is Serving.
    void setEndpoint(const Endpoint &endpoint);
    /// \brief Removes the target whose proxy has this inbound address.
    void removeEndpoint(const Address &inboundAddress);
    /// \brief Sets the evacuated data centres, to whose targets no attempt is sent.
    void setEvacuated(std::set<DataCentreName> dataCentres);
    /// \brief Whether the configuration lets targets in the region of this proxy serve a request.
    [[nodiscard]] bool isRegionAllowed(const InboundRequest &request) const;
    /// \brief Refuses requests, from now on, whose deadline is later than \c end: this process ends then, and would cut
    /// them off at a target.
    void setEnd(MonotonicTime end) { m_endsAt = end; }
    void setCallerService(const ServiceName &service) { m_dependencies.callerService = service; }

    /// \brief Returns the versions of a service, or null if none are known. Valid until the next setVersions().
    [[nodiscard]] const ServiceVersions *versions(const ServiceName &service) const;

    [[nodiscard]] const ProxyConfigPtr &config() const noexcept { return m_config; }

    /// \brief Whether the configuration in force may decide that a request is refused finally. Without a recent
    /// confirmation a later one may allow the request, and its caller is told to try again.
    [[nodiscard]] bool mayRefuseFinally() const;

    /// \brief Responses with a status from 300 to 499 that no target gave. Those of the HTTP server itself are not
    /// included.
    [[nodiscard]] const ClientErrorCounters &clientErrors() const noexcept { return m_clientErrors; }

    /// \brief Returns when a request to another service last failed or was refused. Calls made by the local target are
    /// among these requests.
    [[nodiscard]] MonotonicTime lastDependencyFailure() const noexcept { return m_lastDependencyFailure; }

private:
    class Session;

    [[nodiscard]] KeyCheckDependencies keyCheckDependencies() const;
    [[nodiscard]] VersionChoice chooseVersionFor(const ServiceName &service);
    [[nodiscard]] const std::optional<VersionSplit> &splitFor(const ServiceVersions &versions);
    struct ServiceRetries
    {
        explicit ServiceRetries(const RetryBudgetLimits &limits) : budget(limits) {}

        RetryBudget budget;
        MonotonicTime loggedAt;
    };

    [[nodiscard]] ServiceRetries &retriesFor(const ServiceName &service);
    void recordFailure(const ServiceName &service);
    void logBudgetSpent(const ServiceName &service, MonotonicTime now);
    [[nodiscard]] Milliseconds retryAfter(Microseconds hint);
    void recordAdmission(const RouteName &route, const InboundResult &result, MonotonicTime now);

    ForwarderDependencies m_dependencies;
    ForwarderCounters m_counters;
    ClientErrorCounters m_clientErrors;
    ProxyConfigPtr m_config;
    KeyCheck m_keyCheck;
    ConfigLease m_refusalLease;
    RegionRules m_regionRules; ///< of m_config
    TargetBalancer m_balancer;
    AttemptGate m_attemptGate;
    WeightedChoice m_weightedChoice;
    ResponseSizes m_responseSizes;
    LogRateLimiter m_attemptLogLimiter;
    LogRateLimiter m_endLogLimiter;
    MonotonicTime m_lastDependencyFailure;
    std::optional<MonotonicTime> m_endsAt;
    absl::flat_hash_map<ServiceName, ServiceVersions> m_versions;
    /// Traffic split of each service, computed on demand; cleared when versions or targets change.
    absl::flat_hash_map<ServiceName, std::optional<VersionSplit>> m_splits;
    absl::flat_hash_map<ServiceName, std::unique_ptr<ServiceRetries>> m_retries;
};

} // namespace dandeliondock
