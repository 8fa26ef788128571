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
inline constexpr Milliseconds targetAnswerSlack{60};

/// \brief Time within which a target fails after a call that it made has failed.
inline constexpr Milliseconds callFailureTime{100};

/// \brief What a door works with.
struct DoorParts
{
    EventLoop *loop = nullptr;
    LoopClient *client = nullptr;
    Metrics *metrics = nullptr;
    LogSink log;
    TargetProtocol protocol;
    Address target; ///< address of the target on this instance
    /// Takes each attempt on a service with a running rollout.
    std::function<void(const AttemptReport &, TicketNumber)> onAttempt;
    /// The versions of a service; null when nothing is known of them. The pointer is used at once.
    std::function<const ServiceVersions *(const ServiceName &)> versions;
    /// When a request that began on this instance last failed.
    std::function<MonotonicTime()> lastFailure;
};

namespace impl {
struct DoorJob;
} // namespace impl

/// \brief A request at a door; destroying the handle does not end it.
using DoorJobPtr = std::shared_ptr<impl::DoorJob>;

/// \brief The one way to the target on this instance: every request to it passes here, from this proxy and from others.
///
/// \remark Every method is to be called on the loop's thread.
class Door
{
public:
    explicit Door(DoorParts parts);
    ~Door();
    Door(const Door &) = delete;
    Door &operator=(const Door &) = delete;

    /// \brief Takes a request; \c handler is called once unless the job is cancelled, possibly before this returns.
    DoorJobPtr handle(DoorRequest request, DoorReplyHandler handler);

    /// \brief The caller went away: the request is dropped, at the target too.
    void cancel(const DoorJobPtr &job);

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
    [[nodiscard]] DoorRefusal refusalFor(const DoorRequest &request, MonotonicTime now) const;
    void refuse(const DoorJobPtr &job, DoorRefusal refusal, Microseconds retryAfter);
    void run(const DoorJobPtr &job);
    void noteRunning(impl::DoorJob &job, bool isRunning);
    void ended(const DoorJobPtr &job, LoopCallResult result);
    [[nodiscard]] DoorReply replyOf(const impl::DoorJob &job, LoopCallResult result) const;
    [[nodiscard]] DoorReply judgeResponse(HttpResponse response) const;
    [[nodiscard]] bool hasCallFailed(const impl::DoorJob &job) const;
    void report(const impl::DoorJob &job, const DoorReply &reply, Microseconds latency);
    void finish(const DoorJobPtr &job, DoorReply reply);
    void runNext();
    void refuseWaiting();

    DoorParts m_parts;
    LocalTarget m_target;
    DoorQueue m_queue;
    absl::flat_hash_map<WaiterId, DoorJobPtr> m_waiting;
    std::uint64_t m_lastId = 0;
    std::size_t m_jobs = 0;
    Counter &m_firstRuns;
    Counter &m_repeatedRuns;
    std::uint32_t m_running = 0; ///< requests that the target works on
    std::uint32_t m_repeats = 0; ///< of these
    LogLimiter m_logLimiter;
    bool m_isStopped = false;
};

} // namespace dandeliondock
