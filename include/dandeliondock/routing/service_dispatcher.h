#pragma once

#include <dandeliondock/core/time_source.h>
#include <dandeliondock/routing/routing_counters.h>
#include <dandeliondock/routing/service_pool.h>
#include <dandeliondock/routing/work_class_queue.h>

#include <absl/status/statusor.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace dandeliondock {

/// \brief Criteria for reserving a slot on a target.
struct ClaimRequest
{
    const Service *service = nullptr;
    std::optional<VersionSplit> split;    ///< empty when no rollout splits the traffic
    std::optional<bool> pinnedNewVersion; ///< whether an earlier attempt used the new version; empty without one
    WorkClass workClass = WorkClass::Interactive;
    std::vector<TargetId> tried; ///< targets of earlier attempts; used again only if there are no others
    MonotonicTime deadline;
};

/// \brief Reserved slot on a target, with the data that the session needs.
struct TargetClaim
{
    Pick pick;
    VersionChoice version;
    Endpoint endpoint;                         ///< copy made when the slot was reserved
    ConnectionCount connections;               ///< number of connections that this caller may open to the target
    std::optional<MonotonicTime> lastVerified; ///< last time the target was seen to accept requests
    MonotonicTime servingSince;                ///< time at which this node learned that the target is serving
    bool waited = false;                       ///< the request waited in the queue
};

/// \brief Target pool and admission queue of one service, guarded by one lock.
///
/// \remark Every method is thread-safe. Requests of other services never wait for this lock.
class ServiceDispatcher
{
public:
    ServiceDispatcher(PoolCaller caller, RandomSource random, TimeSource time, RoutingCounters &counters);

    /// \brief Reserves a slot on a target; waits in the queue while every target is at its limit.
    ///
    /// \return NoTarget, Overloaded or DeadlineExceeded when no target is available; nothing was sent in this case.
    [[nodiscard]] absl::StatusOr<TargetClaim> acquire(const ClaimRequest &request);

    /// \brief Releases a slot and serves waiting requests.
    ///
    /// \param outcome empty when the attempt was abandoned.
    void release(const Pick &claim, const std::optional<AttemptOutcome> &outcome);

    /// \brief Records the result of a probe of the claimed target; the slot stays reserved.
    void recordProbe(const Pick &claim, ProbeResult result);

    /// \brief Applies an endpoint record; a target that is not serving is removed.
    /// \param defaultSlots slots of the target when its record does not name them.
    void apply(const Endpoint &record, SlotCount defaultSlots);

    /// \brief Removes a target; has no effect on an unknown one.
    void remove(const TargetId &target);

    /// \brief Sets the number of callers that share the targets.
    void setCallers(std::size_t callers);

private:
    /// \brief Request that waits in acquire(); lives on the stack of its thread.
    struct Waiter
    {
        PickRequest request;
        std::condition_variable wake;
        std::optional<Pick> pick; ///< set by dispatch() when a slot is reserved
        bool isDisplaced = false; ///< removed from the queue in favour of a higher work class
    };

    [[nodiscard]] absl::StatusOr<Pick> wait(std::unique_lock<std::mutex> &lock, const PickRequest &request,
                                            MonotonicTime deadline);
    [[nodiscard]] absl::Status enqueue(WaiterId id, const PickRequest &request, MonotonicTime deadline);
    [[nodiscard]] absl::Status refuse(AdmissionVerdict verdict) const;
    [[nodiscard]] absl::Status noTargetError() const;
    void dispatch();
    void countEjections();

    TimeSource m_time;
    RoutingCounters &m_counters;
    std::mutex m_mutex;
    ServicePool m_pool;
    WorkClassQueue m_queue;
    std::map<WaiterId, Waiter *> m_waiters;
    WaiterId m_lastWaiterId;
    std::uint64_t m_ejectionsCounted = 0; ///< ejections of the pool that are already in the metrics counter
};

} // namespace dandeliondock
