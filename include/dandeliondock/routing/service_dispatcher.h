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

/// \brief What a request asks of a gate.
struct ClaimRequest
{
    const Service *service = nullptr;
    std::optional<VersionSplit> split;
    std::optional<bool> newVersion;
    WorkClass workClass = WorkClass::Interactive;
    std::vector<TargetId> tried;
    MonotonicTime deadline;
};

/// \brief A claim on a target.
struct TargetClaim
{
    Pick pick;
    VersionChoice version;
    Endpoint endpoint;                  ///< as it was when the claim was taken
    ConnectionCount connections;        ///< that this caller may open to the target
    std::optional<MonotonicTime> proof; ///< last time the target was seen to take work
    MonotonicTime servingSince;         ///< when this node learnt that the target serves
    bool waited = false;
};

/// \brief The pool and the queue of one service under one lock.
///
/// \remark Every method is thread-safe. Requests of other services never wait for this lock.
class ServiceDispatcher
{
public:
    ServiceDispatcher(PoolCaller caller, RandomSource random, TimeSource time, RoutingCounters &counters);

    /// \brief Takes a claim, and waits for it in the queue when every target is at its limit.
    ///
    /// \return NoTarget, Overloaded or DeadlineExceeded when none can be had; nothing was sent then.
    [[nodiscard]] absl::StatusOr<TargetClaim> acquire(const ClaimRequest &request);

    /// \brief Ends a claim.
    ///
    /// \param outcome empty when the attempt was given up before it began.
    void release(const Pick &claim, const std::optional<AttemptOutcome> &outcome);

    /// \brief Takes in a probe made under a claim; the claim stays.
    void probed(const Pick &claim, ProbeResult result);

    void apply(const Endpoint &record, SlotCount defaultSlots);

    void remove(const TargetId &target);

    void setCallers(std::size_t callers);

private:
    struct Waiter
    {
        PickRequest request;
        std::condition_variable wake;
        std::optional<Pick> pick;
        bool isDisplaced = false;
    };

    [[nodiscard]] absl::StatusOr<Pick> wait(std::unique_lock<std::mutex> &lock, const PickRequest &request,
                                            MonotonicTime deadline);
    [[nodiscard]] absl::Status enqueue(WaiterId id, const PickRequest &request, MonotonicTime deadline);
    [[nodiscard]] absl::Status refuse(AdmissionVerdict verdict) const;
    [[nodiscard]] absl::Status noTarget() const;
    void dispatch();
    void countEjections();

    TimeSource m_time;
    RoutingCounters &m_counters;
    std::mutex m_mutex;
    ServicePool m_pool;
    WorkClassQueue m_queue;
    std::map<WaiterId, Waiter *> m_waiters;
    WaiterId m_lastWaiter;
    std::uint64_t m_ejectionsCounted = 0;
};

} // namespace dandeliondock
