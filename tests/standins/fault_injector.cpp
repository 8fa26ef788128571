#include "fault_injector.h"

#include <dandeliondock/core/error.h>

#include <thread>

namespace dandeliondock::standins {

namespace {

absl::Status faultError(FaultDecision decision)
{
    switch (decision) {
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

FaultDecision delayAndDecide(FaultInjector &injector, CallKind kind)
{
    const Milliseconds delay = injector.faults().delay;
    if (delay > Milliseconds(0))
        std::this_thread::sleep_for(delay);
    return injector.decide(kind);
}

template <typename Call>
auto readWithFaults(FaultInjector &injector, Call call) -> decltype(call())
{
    const FaultDecision decision = delayAndDecide(injector, CallKind::Read);
    if (decision != FaultDecision::Serve)
        return faultError(decision);
    return call();
}

template <typename Call>
auto writeWithFaults(FaultInjector &injector, Call call) -> decltype(call())
{
    const FaultDecision decision = delayAndDecide(injector, CallKind::Write);
    if (decision == FaultDecision::Serve)
        return call();
    if (decision == FaultDecision::DropResponse)
        (void)call();
    return faultError(decision);
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
    const bool isLimited = exceedsRateLimit(kind);
    if (isLimited || m_faults.outage || occurs(m_faults.refusals)) {
        ++m_counts.refused;
        return isLimited ? FaultDecision::LimitRate : FaultDecision::Refuse;
    }
    if (kind == CallKind::Read)
        return FaultDecision::Serve;
    const bool dropsResponse = occurs(m_faults.lostResponses);
    if (!dropsResponse && !occurs(m_faults.lostRequests))
        return FaultDecision::Serve;
    ++m_counts.lost;
    return dropsResponse ? FaultDecision::DropResponse : FaultDecision::DropRequest;
}

bool FaultInjector::exceedsRateLimit(CallKind kind)
{
    const std::int64_t second = std::chrono::duration_cast<Seconds>(m_time.monotonic().time_since_epoch()).count();
    if (second != m_currentSecond) {
        m_currentSecond = second;
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

bool FaultInjector::occurs(Share probability)
{
    return probability > noShare && uniformBelow(m_random, fullShare.value()) < probability.value();
}

StoreHooks faultyStore(StoreHooks inner, const std::shared_ptr<FaultInjector> &injector)
{
    StoreHooks hooks;
    hooks.read = [inner, injector](const std::vector<RowKey> &keys) {
        return readWithFaults(*injector, [&] { return inner.read(keys); });
    };
    hooks.scan = [inner, injector](const ScanRange &range) {
        return readWithFaults(*injector, [&] { return inner.scan(range); });
    };
    hooks.commit = [inner, injector](const Transaction &transaction) {
        return writeWithFaults(*injector, [&] { return inner.commit(transaction); });
    };
    hooks.putObject = [inner, injector](const std::string &name, const std::string &content) {
        return writeWithFaults(*injector, [&] { return inner.putObject(name, content); });
    };
    hooks.fetchObject = [inner, injector](const std::string &name) {
        return readWithFaults(*injector, [&] { return inner.fetchObject(name); });
    };
    return hooks;
}

} // namespace dandeliondock::standins
