#include <dandeliondock/node/outcome_dispatcher.h>

#include <utility>

namespace dandeliondock {

namespace {

absl::string_view resultName(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Responded:
        return "answered";
    case AttemptResult::Shed:
        return "shed";
    case AttemptResult::NotSent:
        return "not_sent";
    case AttemptResult::MayHaveRun:
        return "may_have_run";
    case AttemptResult::TimedOut:
        return "timed_out";
    case AttemptResult::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace

OutcomeDispatcher::OutcomeDispatcher(std::shared_ptr<BoundedRing<AttemptReport>> ring, OutcomeConsumers consumers,
                                     MetricsRegistry &metrics)
    : m_ring(std::move(ring)), m_consumers(std::move(consumers)), m_metrics(metrics)
{
    m_thread = std::thread([this] { run(); });
}

OutcomeDispatcher::~OutcomeDispatcher()
{
    stop();
}

void OutcomeDispatcher::stop()
{
    m_ring->close();
    if (m_thread.joinable())
        m_thread.join();
}

void OutcomeDispatcher::run()
{
    std::uint64_t countedDrops = 0;
    while (const std::optional<AttemptReport> report = m_ring->pop()) {
        dispatch(*report);
        const std::uint64_t dropped = m_ring->dropped();
        m_metrics.counter("dandeliondock_outcomes_dropped_total").add(dropped - countedDrops);
        countedDrops = dropped;
    }
}

void OutcomeDispatcher::dispatch(const AttemptReport &report)
{
    m_metrics.counter("dandeliondock_attempt_results_total", resultName(report.outcome.result)).add();
    m_consumers.onAttempt(report);
    if (m_consumers.onLocalAttempt && report.target == m_consumers.localTargetId)
        m_consumers.onLocalAttempt(report);
}

} // namespace dandeliondock
