#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/proxy/cold_monitor.h>
#include <dandeliondock/proxy/header_names.h>
#include <dandeliondock/proxy/inbound_queue.h>
#include <dandeliondock/proxy/inbound_request.h>
#include <dandeliondock/proxy/link_schedule.h>
#include <dandeliondock/proxy/local_target.h>
#include <dandeliondock/proxy/response_sizes.h>
#include <dandeliondock/proxy/server_load.h>
#include <dandeliondock/proxy/service_versions.h>
#include <dandeliondock/routing/routing_hooks.h>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Time after a request's deadline for which the target's response is still awaited.
inline constexpr Milliseconds targetResponseGrace{60};

/// \brief Time within which a target's failure is attributed to a failed call that the target made.
inline constexpr Milliseconds dependencyFailureWindow{100};

/// \brief Dependencies of the inbound handler. The pointers are not owned and must outlive it.
struct InboundHandlerDependencies
{
    EventLoop *loop = nullptr;
    AsyncHttpClient *client = nullptr;
    LinkSchedule *link = nullptr; ///< of this instance
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    HeaderNames headerNames;
    Address target; ///< address of the target on this instance
    ColdBounds coldBounds;
    /// Whether the region of this instance may serve a request by the configuration known here; null: every one.
    std::function<bool(const InboundRequest &)> isRegionAllowed;
    /// Called with each attempt on a service that has a running rollout.
    std::function<void(const AttemptReport &, TicketNumber)> onAttempt;
    /// Returns the versions of a service, or null if none are known. The pointer is not kept.
    std::function<const ServiceVersions *(const ServiceName &)> versions;
    /// Returns when a request from this instance to another service last failed or was refused.
    std::function<MonotonicTime()> lastDependencyFailure;
};

namespace impl {
struct InboundJob;
} // namespace impl

/// \brief Handle to a request in progress at the inbound handler; destroying the handle does not end the request.
using InboundJobPtr = std::shared_ptr<impl::InboundJob>;

/// \brief Admits requests for the target on this instance and sends them to it. All requests to the target, from this
/// proxy and from others, pass through this class.
///
/// \remark Every method must be called on the loop's thread.
class InboundHandler
{
public:
    explicit InboundHandler(InboundHandlerDependencies dependencies);
    ~InboundHandler();
    InboundHandler(const InboundHandler &) = delete;
    InboundHandler &operator=(const InboundHandler &) = delete;

    /// \brief Runs, queues or refuses a request. \c handler is called once unless the job is cancelled, possibly before
    /// this method returns.
    InboundJobPtr handle(InboundRequest request, InboundResultHandler handler);

    /// \brief Drops a request whose caller disconnected, and cancels the call to the target.
    void cancel(const InboundJobPtr &job);

    /// \brief Applies an announcement of the target. When the target no longer accepts requests, waiting ones are
    /// refused.
    AnnouncementEffect announce(const TargetAnnouncement &announcement);
    /// \brief Applies a departure of the target; see LocalTarget::handleDeparture(). When the target no longer accepts
    /// requests, waiting ones are refused.
    AnnouncementEffect handleDeparture(const TargetId &target, std::optional<Incarnation> startedAt,
                                       Incarnation latestStart);
    /// \brief Applies the record of the target's row; see LocalTarget::applyRecord(). Until then, all requests are
    /// refused. When the target no longer accepts requests, waiting ones are refused.
    AnnouncementEffect applyRecord(const std::optional<TargetAnnouncement> &record);

    /// \brief Sets the service of the target, which says how many requests it can process while it is cold.
    void setService(const Service &service) { m_cold.setService(service); }

    /// \brief Refuses waiting requests that a new configuration does not allow here.
    void refuseDisallowed();

    /// \brief Sets whether the data centre of this instance is evacuated. If it is, waiting and further requests are
    /// refused.
    void setEvacuated(bool isEvacuated);

    /// \brief Refuses waiting and all further requests, because this process is shutting down.
    void stop();

    [[nodiscard]] const LocalTarget &target() const noexcept { return m_target; }
    /// \brief Returns the number of requests that are waiting or running.
    [[nodiscard]] std::size_t openJobs() const noexcept { return m_openJobs; }

    /// \brief Returns the share of repeats among the requests that the target is processing.
    [[nodiscard]] Share repeatShare() const noexcept;

private:
    [[nodiscard]] InboundRefusal refusalFor(const InboundRequest &request, MonotonicTime now) const;
    [[nodiscard]] TargetLoad load(const RouteName &route) const;
    [[nodiscard]] bool isTargetFull() const;
    void recordServerLoad(const HttpResponse &response);
    void enqueue(const InboundJobPtr &job, MonotonicTime now);
    void refuseDisplaced(const std::vector<WaiterId> &displaced);
    void reserveLink(impl::InboundJob &job, ByteCount response);
    void releaseLink(impl::InboundJob &job);
    void refuse(const InboundJobPtr &job, InboundRefusal refusal, Microseconds retryAfter);
    void run(const InboundJobPtr &job);
    void setRunning(impl::InboundJob &job, bool isRunning);
    void handleResponse(const InboundJobPtr &job, AsyncCallResult callResult);
    [[nodiscard]] InboundResult resultFor(const impl::InboundJob &job, AsyncCallResult callResult) const;
    [[nodiscard]] InboundResult classifyResponse(HttpResponse response) const;
    [[nodiscard]] bool hasDependencyFailed(const impl::InboundJob &job) const;
    void reportAttempt(const impl::InboundJob &job, const InboundResult &result, Microseconds latency);
    void finish(const InboundJobPtr &job, InboundResult result);
    void runNext();
    void refuseWaiting(InboundRefusal refusal);
    void applyColdChange(bool isCold);
    [[nodiscard]] ColdMonitorDependencies coldDependencies();
    AnnouncementEffect followTarget(AnnouncementEffect effect);

    InboundHandlerDependencies m_dependencies;
    LocalTarget m_target;
    InboundQueue m_queue;
    ResponseSizes m_responseSizes;
    std::optional<ServerLoad> m_serverLoad; ///< as the target last reported it
    MonotonicTime m_serverLoadAt;
    absl::flat_hash_map<WaiterId, InboundJobPtr> m_waiting;
    std::uint64_t m_lastWaiterId = 0;
    std::size_t m_openJobs = 0;
    Counter &m_firstRuns;
    Counter &m_repeatedRuns;
    std::uint32_t m_running = 0;        ///< requests that the target is processing
    std::uint32_t m_runningRepeats = 0; ///< repeats among these
    LogRateLimiter m_logLimiter;
    ColdMonitor m_cold;
    LoopTimer m_coldTimer; ///< runs waiting requests when the limit for a cold target allows the next one
    bool m_isEvacuated = false;
    bool m_isStopped = false;
};

} // namespace dandeliondock
