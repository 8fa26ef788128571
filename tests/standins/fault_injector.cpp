#include "fault_injector.h"

#include <dandeliondock/core/error.h>

#include <thread>

namespace dandeliondock::standins {

namespace {

absl::Status fateError(FaultDecision fate)
{
    switch (fate) {
    case FaultDecision::Refuse:
        return makeError(ErrorKind::StoreUnavailable, "the stand-in refused the call");
    case FaultDecision::LimitRate:
        return makeError(ErrorKind::StoreUnavailable, "the stand-in's rate limit was reached");
    case FaultDecision::DropResponse:
    case FaultDecision::DropRequest:
        return makeError(ErrorKind::OutcomeUnknown, "the stand-in lost the answer");
    case FaultDecision::Serve:
        break;
    }
    return absl::OkStatus();
}

FaultDecision begin(FaultInjector &plan, CallKind kind)
{
    const Milliseconds delay = plan.faults().delay;
    if (delay > Milliseconds(0))
        std::this_thread::sleep_for(delay);
    return plan.decide(kind);
}

template <typename Call>
auto readThrough(FaultInjector &plan, Call call) -> decltype(call())
{
    const FaultDecision fate = begin(plan, CallKind::Read);
    if (fate != FaultDecision::Serve)
        return fateError(fate);
    return call();
}

template <typename Call>
auto writeThrough(FaultInjector &plan, Call call) -> decltype(call())
{
    const FaultDecision fate = begin(plan, CallKind::Write);
    if (fate == FaultDecision::Serve)
        return call();
    if (fate == FaultDecision::DropResponse)
        (void)call();
    return fateError(fate);
}

} // namespace

FaultInjector::FaultInjector(TimeSource time, RandomSource random)
    : m_time(std::move(time)), m_random(std::move(random))
{
}

void FaultInjector::set(const StoreFaults &faults)
{
    const std::scoped_lock lock(m_mutex);
    m_faults = faults;
}

StoreFaults FaultInjector::faults() const
{
    const std::scoped_lock lock(m_mutex);
    return m_faults;
}

CallCounts FaultInjector::counts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_counts;
}

FaultDecision FaultInjector::decide(CallKind kind)
{
    const std::scoped_lock lock(m_mutex);
    ++(kind == CallKind::Read ? m_counts.reads : m_counts.writes);
    const bool limited = overRate(kind);
    if (limited || m_faults.outage || draw(m_faults.refusals)) {
        ++m_counts.refused;
        return limited ? FaultDecision::LimitRate : FaultDecision::Refuse;
    }
    if (kind == CallKind::Read)
        return FaultDecision::Serve;
    const bool loseResponse = draw(m_faults.lostResponses);
    if (!loseResponse && !draw(m_faults.lostRequests))
        return FaultDecision::Serve;
    ++m_counts.lost;
    return loseResponse ? FaultDecision::DropResponse : FaultDecision::DropRequest;
}

bool FaultInjector::overRate(CallKind kind)
{
    const std::int64_t second = std::chrono::duration_cast<Seconds>(m_time.monotonic().time_since_epoch()).count();
    if (second != m_second) {
        m_second = second;
        m_readsThisSecond = 0;
        m_writesThisSecond = 0;
    }
    std::uint32_t &calls = kind == CallKind::Read ? m_readsThisSecond : m_writesThisSecond;
    const std::uint32_t limit = kind == CallKind::Read ? m_faults.readsPerSecond : m_faults.writesPerSecond;
    if (limit != 0 && calls >= limit)
        return true;
    ++calls;
    return false;
}

bool FaultInjector::draw(Share share)
{
    return share > noShare && uniformBelow(m_random, fullShare.value()) < share.value();
}

StoreHooks faultyStore(StoreHooks inner, const std::shared_ptr<FaultInjector> &plan)
{
    StoreHooks hooks;
    hooks.read = [inner, plan](const std::vector<RowKey> &keys) {
        return readThrough(*plan, [&] { return inner.read(keys); });
    };
    hooks.scan = [inner, plan](const ScanRange &range) {
        return readThrough(*plan, [&] { return inner.scan(range); });
    };
    hooks.commit = [inner, plan](const Transaction &transaction) {
        return writeThrough(*plan, [&] { return inner.commit(transaction); });
    };
    hooks.putObject = [inner, plan](const std::string &name, const std::string &content) {
        return writeThrough(*plan, [&] { return inner.putObject(name, content); });
    };
    hooks.fetchObject = [inner, plan](const std::string &name) {
        return readThrough(*plan, [&] { return inner.fetchObject(name); });
    };
    return hooks;
}

} // namespace dandeliondock::standins
