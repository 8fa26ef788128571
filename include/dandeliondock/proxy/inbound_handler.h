#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/proxy/header_names.h>
#include <dandeliondock/proxy/inbound_queue.h>
#include <dandeliondock/proxy/inbound_request.h>
#include <dandeliondock/proxy/local_target.h>
#include <dandeliondock/proxy/service_versions.h>
#include <dandeliondock/routing/routing_hooks.h>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <optional>

namespace dandeliondock {

/// \brief Time after the deadline in which the target's own response to it is still awaited.
inline constexpr Milliseconds targetResponseGrace{60};

/// \brief Time within which a target fails after a call that it made has failed.
inline constexpr Milliseconds dependencyFailureWindow{100};

/// \brief What a door works with.
struct InboundHandlerDependencies
{
    EventLoop *loop = nullptr;
    AsyncHttpClient *client = nullptr;
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    HeaderNames protocol;
    Address target; ///< address of the target on this instance
    /// Takes each attempt on a service with a running rollout.
    std::function<void(const AttemptReport &, TicketNumber)> onAttempt;
    /// The versions of a service; null when nothing is known of them. The pointer is used at once.
    std::function<const ServiceVersions *(const ServiceName &)> versions;
    /// When a request that began on this instance last failed.
    std::function<MonotonicTime()> lastDependencyFailure;
};

namespace impl {
struct InboundJob;
} // namespace impl

/// \brief A request at a door; destroying the handle does not end it.
using InboundJobPtr = std::shared_ptr<impl::InboundJob>;

/// \brief The one way to the target on this instance: every request to it passes here, from this proxy and from others.
///
/// \remark Every method is to be called on the loop's thread.
class InboundHandler
{
public:
    explicit InboundHandler(InboundHandlerDependencies parts);
    ~InboundHandler();
    InboundHandler(const InboundHandler &) = delete;
    InboundHandler &operator=(const InboundHandler &) = delete;

    /// \brief Takes a request; \c handler is called once unless the job is cancelled, possibly before this returns.
    InboundJobPtr handle(InboundRequest request, InboundResultHandler handler);

    /// \brief The caller went away: the request is dropped, at the target too.
    void cancel(const InboundJobPtr &job);

    /// \brief Takes the target's announcement over; a target that leaves gets nothing more, waiting requests included.
    AnnouncementEffect announce(const TargetAnnouncement &announcement);
    AnnouncementEffect leave(const TargetId &target, std::optional<Incarnation> startedAt);

    /// \brief Refuses every further request, as this process ends.
    void stop();

    [[nodiscard]] const LocalTarget &target() const noexcept { return m_target; }
    [[nodiscard]] std::size_t openJobs() const noexcept { return m_jobs; }

    /// \brief The part of the requests that the target works on that are repeats.
    [[nodiscard]] Share repeatedPart() const noexcept;

private:
    [[nodiscard]] InboundRefusal refusalFor(const InboundRequest &request, MonotonicTime now) const;
    void refuse(const InboundJobPtr &job, InboundRefusal refusal, Microseconds retryAfter);
    void run(const InboundJobPtr &job);
    void noteRunning(impl::InboundJob &job, bool isRunning);
    void ended(const InboundJobPtr &job, AsyncCallResult result);
    [[nodiscard]] InboundResult replyOf(const impl::InboundJob &job, AsyncCallResult result) const;
    [[nodiscard]] InboundResult judgeResponse(HttpResponse response) const;
    [[nodiscard]] bool hasCallFailed(const impl::InboundJob &job) const;
    void report(const impl::InboundJob &job, const InboundResult &reply, Microseconds latency);
    void finish(const InboundJobPtr &job, InboundResult reply);
    void runNext();
    void refuseWaiting();

    InboundHandlerDependencies m_parts;
    LocalTarget m_target;
    InboundQueue m_queue;
    absl::flat_hash_map<WaiterId, InboundJobPtr> m_waiting;
    std::uint64_t m_lastId = 0;
    std::size_t m_jobs = 0;
    Counter &m_firstRuns;
    Counter &m_repeatedRuns;
    std::uint32_t m_running = 0; ///< requests that the target works on
    std::uint32_t m_repeats = 0; ///< of these
    LogRateLimiter m_logLimiter;
    bool m_isStopped = false;
};

} // namespace dandeliondock
