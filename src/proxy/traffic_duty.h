#pragma once

#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/control_duty.h>
#include <dandeliondock/proxy/forwarder.h>
#include <dandeliondock/proxy/inbound_handler.h>
#include <dandeliondock/proxy/loop_monitor.h>
#include <dandeliondock/proxy/proxy.h>

#include <functional>
#include <variant>
#include <vector>

namespace dandeliondock {

/// \brief An attempt at the own target while a rollout runs.
struct RolloutAttempt
{
    AttemptReport report;
    TicketNumber rollout;
};

/// \brief Attempts gathered over a short time, so that the control duty is not woken for each.
using RolloutAttempts = std::vector<RolloutAttempt>;

/// \brief Time over which attempts gather.
inline constexpr Milliseconds attemptBatchDelay{200};
/// \brief Most attempts that gather; more are left out.
inline constexpr std::size_t maxBatchedAttempts = 1'024;

/// \brief Another proxy's call to the control duty; \c respond may be called on any thread.
struct PeerCall
{
    std::string path;
    std::string body;
    std::function<void(int, std::string)> respond;
};

/// \brief What the traffic duty tells the control duty.
using TrafficUpdate = std::variant<Endpoint, RolloutAttempts, PeerCall>;

/// \brief Time for which a proxy that ends still takes callers' requests: readiness is asked for every second, and two
/// misses keep callers away.
inline constexpr Milliseconds minDrainTime{3'000};
/// \brief Part of the grace time that is left unused.
inline constexpr Milliseconds graceReserve{500};
/// \brief Time between two looks at what is still open while the proxy ends.
inline constexpr Milliseconds drainCheck{100};

/// \brief The duty that carries requests: every listener, the door and the forwarder, on one event loop.
///
/// \remark Every method is to be called on the duty's loop, or before it runs.
class TrafficDuty
{
public:
    TrafficDuty(EventLoop &loop, const ProxySettings &settings, const PlatformAdapter &adapter,
                MetricsRegistry &metrics, LogSink log, std::function<void(TrafficUpdate)> tell);

    [[nodiscard]] absl::Status listen();

    void apply(ControlUpdate news);

    /// \brief Begins to end; \c onEnded is called when nothing is open any more, or when the time is over.
    void drain(std::function<void()> onEnded);

private:
    void handleHealth(const HttpRequestContextPtr &exchange);
    void handleTargetMessage(const HttpRequestContextPtr &exchange);
    void handleDoor(const HttpRequestContextPtr &exchange);
    void handleMetrics(const HttpRequestContextPtr &exchange);
    void announced(AnnouncementEffect effect);
    void checkDrained();
    void gather(RolloutAttempt attempt);
    void addOpenWork(LogEvent &event);
    [[nodiscard]] InboundHandlerDependencies doorParts();
    [[nodiscard]] ForwarderDependencies forwarderParts();
    [[nodiscard]] Endpoint ownEndpoint() const;

    EventLoop &m_loop;
    const ProxySettings &m_settings;
    const PlatformAdapter &m_adapter;
    MetricsRegistry &m_metrics;
    LogSink m_log;
    std::function<void(TrafficUpdate)> m_tell;
    AsyncHttpClient m_client;
    InboundHandler m_door;
    Forwarder m_forwarder;
    AsyncHttpServer m_callers;
    AsyncHttpServer m_doorServer;
    AsyncHttpServer m_health;
    AsyncHttpServer m_announcements;
    AsyncHttpServer m_metricsServer;
    LoopMonitor m_loopWatch;
    RolloutAttempts m_attempts;
    LoopTimer m_attemptsTimer;
    LoopTimer m_drainTimer;
    MonotonicTime m_drainSince;
    std::function<void()> m_onEnded;
    bool m_isComplete = false;
    bool m_isDraining = false;
    bool m_isClosed = false; ///< takes no further connection of a caller
};

} // namespace dandeliondock
