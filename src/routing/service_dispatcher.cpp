#include <dandeliondock/routing/service_dispatcher.h>

#include <dandeliondock/core/error.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr std::size_t queueCapacity = 64;
// Caps the wait so that a distant deadline does not exceed the range of the clock.
constexpr Seconds maxWait{600};
// A waiter whose version has no free target must not block waiters for the other version, so some busy waiters are
// skipped. The limit bounds the work that one release causes.
constexpr int maxBusyWaiters = 4;

PickRequest makePickRequest(const ClaimRequest &request, VersionChoice version)
{
    return {std::move(version), request.workClass, request.service->connectionsPerTarget, request.tried};
}

} // namespace

ServiceDispatcher::ServiceDispatcher(PoolCaller caller, RandomSource random, TimeSource time, RoutingCounters &counters)
    : m_time(std::move(time)), m_counters(counters), m_pool(std::move(caller), std::move(random)),
      m_queue(queueCapacity)
{
}

absl::StatusOr<TargetClaim> ServiceDispatcher::acquire(const ClaimRequest &request)
{
    const MonotonicTime now = m_time.monotonic();
    if (now >= request.deadline)
        return refuse(AdmissionVerdict::DeadlineUnmeetable);
    std::unique_lock lock(m_mutex);
    TargetClaim claim;
    claim.version =
            chooseVersion(*request.service, request.split, m_pool.draw(fullShare.value()), request.pinnedNewVersion);
    const PickRequest pickRequest = makePickRequest(request, claim.version);
    const bool mustWait = m_queue.countAhead(request.workClass) > 0;
    if (!mustWait)
        claim.pick = m_pool.pick(pickRequest, now);
    if (mustWait || claim.pick.verdict == PickVerdict::Busy) {
        absl::StatusOr<Pick> pick = wait(lock, pickRequest, request.deadline);
        if (!pick.ok())
            return pick.status();
        claim.pick = *std::move(pick);
        claim.waited = true;
    }
    if (claim.pick.verdict == PickVerdict::None)
        return noTargetError();
    claim.endpoint = claim.pick.target->endpoint;
    claim.connections = claim.pick.target->connections;
    claim.lastVerified = claim.pick.target->lastVerified;
    claim.servingSince = claim.pick.target->servingSince;
    return claim;
}

void ServiceDispatcher::release(const Pick &claim, const std::optional<AttemptOutcome> &outcome)
{
    const std::scoped_lock lock(m_mutex);
    if (outcome)
        m_pool.finish(claim, *outcome, m_time.monotonic());
    else
        m_pool.abandon(claim);
    if (outcome && outcome->result == AttemptResult::Shed)
        m_counters.sheds.add();
    countEjections();
    dispatch();
}

void ServiceDispatcher::recordProbe(const Pick &claim, ProbeResult result)
{
    const std::scoped_lock lock(m_mutex);
    m_pool.recordProbe(claim, result, m_time.monotonic());
    countEjections();
}

void ServiceDispatcher::apply(const Endpoint &record, SlotCount defaultSlots)
{
    const std::scoped_lock lock(m_mutex);
    m_pool.apply(record, defaultSlots, m_time.monotonic());
    dispatch();
}

void ServiceDispatcher::remove(const TargetId &target)
{
    const std::scoped_lock lock(m_mutex);
    m_pool.remove(target);
    dispatch();
}

void ServiceDispatcher::setCallers(std::size_t callers)
{
    const std::scoped_lock lock(m_mutex);
    m_pool.setCallers(callers);
    dispatch();
}

absl::StatusOr<Pick> ServiceDispatcher::wait(std::unique_lock<std::mutex> &lock, const PickRequest &request,
                                             MonotonicTime deadline)
{
    const WaiterId id(m_lastWaiterId.value() + 1);
    m_lastWaiterId = id;
    if (absl::Status status = enqueue(id, request, deadline); !status.ok())
        return status;
    m_counters.queued.add();
    Waiter waiter;
    waiter.request = request;
    m_waiters.emplace(id, &waiter);
    dispatch();
    waiter.wake.wait_for(lock, std::min<Microseconds>(deadline - m_time.monotonic(), maxWait),
                         [&waiter] { return waiter.pick.has_value() || waiter.isDisplaced; });
    m_queue.withdraw(id);
    m_waiters.erase(id);
    if (waiter.pick)
        return *std::move(waiter.pick);
    if (waiter.isDisplaced) {
        m_counters.displaced.add();
        return makeError(ErrorKind::Overloaded, "the request gave way to work that cannot wait");
    }
    m_counters.deadlinePassed.add();
    return makeError(ErrorKind::DeadlineExceeded, "the deadline passed before a target was free; nothing was sent");
}

absl::Status ServiceDispatcher::enqueue(WaiterId id, const PickRequest &request, MonotonicTime deadline)
{
    const Admission admission =
            m_queue.admit(id, request.workClass, deadline, m_time.monotonic(), m_pool.drainEstimate());
    if (admission.verdict != AdmissionVerdict::Queued)
        return refuse(admission.verdict);
    if (!admission.displaced)
        return absl::OkStatus();
    Waiter &displaced = *m_waiters.at(*admission.displaced);
    displaced.isDisplaced = true;
    displaced.wake.notify_one();
    return absl::OkStatus();
}

absl::Status ServiceDispatcher::refuse(AdmissionVerdict verdict) const
{
    if (verdict == AdmissionVerdict::DeadlineUnmeetable) {
        m_counters.deadlineUnmeetable.add();
        return makeError(ErrorKind::DeadlineExceeded, "the deadline cannot be met; nothing was sent");
    }
    m_counters.overloaded.add();
    return makeError(ErrorKind::Overloaded, "every target is busy and the queue is full; nothing was sent");
}

absl::Status ServiceDispatcher::noTargetError() const
{
    m_counters.noTarget.add();
    return makeError(ErrorKind::NoTarget, "no target of the chosen version takes requests");
}

void ServiceDispatcher::dispatch()
{
    if (m_waiters.empty())
        return;
    int busy = 0;
    for (const WaiterId id : m_queue.order()) {
        Waiter &waiter = *m_waiters.at(id);
        Pick pick = m_pool.pick(waiter.request, m_time.monotonic());
        if (pick.verdict == PickVerdict::Busy) {
            if (++busy >= maxBusyWaiters)
                return;
            continue;
        }
        m_queue.withdraw(id);
        waiter.pick = std::move(pick);
        waiter.wake.notify_one();
    }
}

void ServiceDispatcher::countEjections()
{
    m_counters.ejections.add(m_pool.ejections() - m_ejectionsCounted);
    m_ejectionsCounted = m_pool.ejections();
}

} // namespace dandeliondock
