#pragma once

#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/control_duty.h>
#include <dandeliondock/proxy/forwarder.h>
#include <dandeliondock/proxy/inbound_handler.h>
#include <dandeliondock/proxy/link_pacer.h>
#include <dandeliondock/proxy/loop_monitor.h>
#include <dandeliondock/proxy/proxy.h>
#include <dandeliondock/quotas/quota_limiter.h>

#include <functional>
#include <list>
#include <optional>
#include <variant>
#include <vector>

namespace dandeliondock {

/// \brief An attempt on the local target during a rollout.
struct RolloutAttempt
{
    AttemptReport report;
    TicketNumber rollout; ///< order that started the rollout
};

/// \brief Attempts batched over a short time, so that the control duty is not woken for each one.
using RolloutAttempts = std::vector<RolloutAttempt>;

/// \brief Time for which attempts are batched before they are sent to the control duty.
inline constexpr Milliseconds attemptBatchDelay{200};
/// \brief Largest number of attempts in a batch; further ones are dropped.
inline constexpr std::size_t maxBatchedAttempts = 1'024;

/// \brief A request of another proxy to the control duty; \c respond may be called on any thread.
struct PeerCall
{
    PeerMessageKind kind;
    HttpBody body; ///< counts in the account of the traffic duty until both duties have released it
    std::function<void(int, std::string)> respond;
};

/// \brief Message from the traffic duty to the control duty.
using TrafficUpdate = std::variant<Endpoint, RolloutAttempts, PeerCall, AccountUsages>;

/// \brief Time in which the departure of the target must be recorded for it to be acknowledged; the target gives up on
/// a message after a second.
inline constexpr Milliseconds departureRecordTimeout{800};
/// \brief Shortest time for which a draining proxy still accepts callers' requests. Readiness is checked every second,
/// and callers stay away after two failed checks.
inline constexpr Milliseconds minDrainTime{3'000};
/// \brief Time after the listener for callers is closed for which requests on accepted connections are still read.
inline constexpr Milliseconds lastRequestsTime{200};
/// \brief Part of the grace time that draining leaves unused.
inline constexpr Milliseconds graceReserve{500};
/// \brief Interval at which a draining proxy checks for open requests.
inline constexpr Milliseconds drainCheckInterval{100};

/// \brief A message by which the target leaves and which is acknowledged when its row says so.
struct UnrecordedDeparture
{
    HttpRequestContextPtr context;
    Endpoint endpoint;
    LoopTimer timeout;
};

/// \brief The duty that serves requests: runs all listeners, the inbound handler and the forwarder on one event loop.
///
/// \remark Every method must be called on the duty's loop, or before the loop runs.
class TrafficDuty
{
public:
    /// \param publish sends an update to the control duty; called on this duty's loop.
    TrafficDuty(EventLoop &loop, const ProxySettings &settings, const PlatformAdapter &adapter,
                MetricsRegistry &metrics, LogSink log, std::function<void(TrafficUpdate)> publish);

    /// \brief Opens all listeners; returns InvalidSettings when an address cannot be used.
    [[nodiscard]] absl::Status listen();

    /// \brief Applies an update from the control duty.
    void apply(ControlUpdate update);

    /// \brief Starts draining; \c onDrained is called when no request is open or the grace time is nearly over.
    void drain(std::function<void()> onDrained);

private:
    void handleHealth(const HttpRequestContextPtr &context);
    void handleTargetMessage(const HttpRequestContextPtr &context);
    void handleInbound(const HttpRequestContextPtr &context);
    void handleMetrics(const HttpRequestContextPtr &context);
    /// Whether the configuration in force permits the request to run beside others of its caller's connection.
    [[nodiscard]] bool isConcurrent(const HttpRequest &request) const;
    void recordConcurrencyEvent(ConcurrencyEvent event);
    /// Applies a message of the target. Returns Stale for one that is older than the known state.
    AnnouncementEffect applyTargetMessage(const TargetMessage &message);
    void applyTargetRecord(const std::optional<Endpoint> &record);
    void publishTarget();
    /// Responds once the row of the target holds the state known now, so that it survives this process; responds with
    /// an error when that takes too long.
    void acknowledgeWhenRecorded(const HttpRequestContextPtr &context);
    void handleTargetRecorded(const Endpoint &record);
    /// Whether a record says of a target at least what \c departure says.
    [[nodiscard]] static bool covers(const Endpoint &record, const Endpoint &departure);
    [[nodiscard]] bool isIdle() const;
    void checkDrained();
    void batchAttempt(RolloutAttempt attempt);
    void setQuotas();
    void scheduleUsageReport();
    void reportUsage();
    void addLoadFields(LogEvent &event);
    void recordShed(const ShedHolder &holder);
    void recordRejection(const char *listener, const RequestRejection &rejection);
    [[nodiscard]] InboundHandlerDependencies inboundDependencies();
    [[nodiscard]] ForwarderDependencies forwarderDependencies();
    [[nodiscard]] Endpoint localEndpoint() const;

    EventLoop &m_loop;
    const ProxySettings &m_settings;
    const PlatformAdapter &m_adapter;
    MetricsRegistry &m_metrics;
    LogSink m_log;
    std::function<void(TrafficUpdate)> m_publish;
    std::shared_ptr<ReceiveAccount> m_receiveAccount;
    AsyncHttpClient m_client;
    LinkPacer m_pacer;
    InboundHandler m_inbound;
    QuotaLimiter m_quotas;
    Forwarder m_forwarder;
    AsyncHttpServer m_callerServer;
    AsyncHttpServer m_inboundServer;
    AsyncHttpServer m_healthServer;
    AsyncHttpServer m_announcementServer;
    AsyncHttpServer m_metricsServer;
    Counter &m_pipelinedRequests; ///< passed on while others of their connection were in progress
    Counter &m_droppedPipelines;  ///< connections whose ready responses exceeded their bound
    LogRateLimiter m_concurrencyLogLimiter;
    LoopMonitor m_loopMonitor;
    LogRateLimiter m_shedLogLimiter;
    LogRateLimiter m_rejectionLogLimiter;
    RolloutAttempts m_batchedAttempts;
    LoopTimer m_batchTimer;
    LoopTimer m_usageTimer; ///< runs while the configuration has quotas
    LoopTimer m_drainTimer;
    std::list<UnrecordedDeparture> m_unrecordedDepartures;
    std::optional<Endpoint> m_recorded; ///< record in the row of the target, as last read or written
    MonotonicTime m_drainStartedAt;
    std::optional<MonotonicTime> m_listenerClosedAt;
    std::function<void()> m_onDrained;
    bool m_isSynced = false;
    bool m_isDraining = false;
};

} // namespace dandeliondock
