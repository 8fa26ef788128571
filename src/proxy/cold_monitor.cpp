#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/proxy/cold_monitor.h>

#include <absl/strings/numbers.h>

#include <cstdint>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int firstSuccess = 200;
constexpr int firstRedirection = 300;

} // namespace

std::optional<Milliseconds> coldRemainingOf(const HttpResponse &response, const HeaderNames &names)
{
    const auto value = response.headers.first(names.coldRemaining);
    if (!value) {
        const bool isSuccess = response.status >= firstSuccess && response.status < firstRedirection;
        return isSuccess ? std::optional(Milliseconds{0}) : std::nullopt;
    }
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(*value, &milliseconds) || milliseconds < 0)
        return std::nullopt;
    return checkedDuration(milliseconds);
}

ColdProbe httpColdProbe(AsyncHttpClient &client, const Address &target, const HeaderNames &names)
{
    return [&client, target, names](const std::string &healthPath, ColdProbeHandler handler) {
        HttpRequest request{"GET", healthPath, {}, {}};
        request.headers.add("Host", target.value());
        AsyncCallOptions options;
        options.deadline = EventLoop::now() + coldProbeTimeout;
        client.send(target, request, options, [names, handler = std::move(handler)](const AsyncCallResult &result) {
            handler(result.status.ok() ? coldRemainingOf(result.response, names) : std::nullopt);
        });
    };
}

ColdMonitor::ColdMonitor(ColdMonitorDependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_admission(m_dependencies.bounds)
{
}

void ColdMonitor::setService(const Service &service)
{
    m_healthPath = service.healthPath;
    m_admission.setColdStart({service.coldStart, service.coldRate}, EventLoop::now());
    poll();
}

void ColdMonitor::recordAnnouncement(Milliseconds remaining, bool isNewProcess)
{
    const MonotonicTime now = EventLoop::now();
    m_admission.recordAnnouncement(remaining, now);
    if (isNewProcess)
        m_admission.suspect(now);
    reportChange(!m_admission.isLimited(now));
    poll();
}

void ColdMonitor::suspect()
{
    m_admission.suspect(EventLoop::now());
    poll();
}

bool ColdMonitor::maySend(std::size_t waiting) const
{
    return m_admission.maySend(waiting, EventLoop::now());
}

Microseconds ColdMonitor::timeToSend(std::size_t waiting) const
{
    return m_admission.timeToSend(waiting, EventLoop::now());
}

void ColdMonitor::recordSent()
{
    m_admission.recordSent(EventLoop::now());
    poll();
}

ColdReport ColdMonitor::report(bool isRefused)
{
    return m_admission.report(isRefused, EventLoop::now());
}

// Sends a probe if one is due, or sets the timer for the next one. A timer that fires earlier than needed polls again.
void ColdMonitor::poll()
{
    const MonotonicTime now = EventLoop::now();
    if (m_admission.isProbeDue(now) && m_healthPath.empty()) {
        m_admission.startProbe(now);
        m_admission.finishProbe(std::nullopt, now);
    } else if (m_admission.isProbeDue(now)) {
        m_probeTimer.cancel();
        m_probeTimerAt.reset();
        m_admission.startProbe(now);
        m_dependencies.probe(m_healthPath, [this](std::optional<Milliseconds> remaining) { finishProbe(remaining); });
        return;
    }
    const std::optional<Microseconds> delay = m_admission.timeToProbe(now);
    if (!delay || (m_probeTimerAt && *m_probeTimerAt <= now + *delay))
        return;
    m_probeTimerAt = now + *delay;
    m_probeTimer = m_dependencies.loop->after(*delay, [this] {
        m_probeTimerAt.reset();
        poll();
    });
}

void ColdMonitor::finishProbe(std::optional<Milliseconds> remaining)
{
    const MonotonicTime now = EventLoop::now();
    const char *outcome = !remaining ? "failed" : remaining->count() > 0 ? "cold" : "warm";
    m_dependencies.metrics->counter("cold_probes_total", outcome).add();
    const bool wasLimited = m_admission.isLimited(now);
    m_admission.finishProbe(remaining, now);
    reportChange(wasLimited && !m_admission.isLimited(now));
    poll();
}

void ColdMonitor::reportChange(bool isNowWarm)
{
    const bool isCold = m_admission.isCold(EventLoop::now());
    if (isCold != m_isCold) {
        LogEvent(LogLevel::Info, isCold ? "target.cold" : "target.warm").write(m_dependencies.log);
        m_isCold = isCold;
        if (isCold) {
            m_dependencies.onChanged(true);
            return;
        }
    }
    if (isNowWarm)
        m_dependencies.onChanged(false);
}

} // namespace dandeliondock
