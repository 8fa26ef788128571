#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/places/cold_admission.h>
#include <dandeliondock/proxy/header_names.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace dandeliondock {

/// \brief Time within which the target must respond to a probe.
inline constexpr Milliseconds coldProbeTimeout{400};

/// \brief Called with the time for which the target stays cold, 0 if it is warm, or empty without a usable response.
using ColdProbeHandler = std::function<void(std::optional<Milliseconds>)>;
/// \brief Requests the state of the target from its health path; the handler is called once, on the loop's thread and
/// after the hook has returned.
using ColdProbe = std::function<void(const std::string &healthPath, ColdProbeHandler handler)>;

/// \brief Returns the remaining cold time that a health response reports; empty if the response says nothing about it.
/// A response without the header comes from a warm target. Thread-safe.
[[nodiscard]] std::optional<Milliseconds> coldRemainingOf(const HttpResponse &response, const HeaderNames &names);

/// \brief Returns a probe that sends a request to the target. \c client must outlive the calls of the hook.
[[nodiscard]] ColdProbe httpColdProbe(AsyncHttpClient &client, const Address &target, const HeaderNames &names);

/// \brief Dependencies of the cold monitor. The pointers are not owned and must outlive it.
struct ColdMonitorDependencies
{
    EventLoop *loop = nullptr;
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    ColdBounds bounds;
    ColdProbe probe;
    /// Called when the target became cold, with true, or was found to be warm, with false.
    std::function<void(bool)> onChanged;
};

/// \brief Runs the ColdAdmission of the local target on the event loop and sends its probes.
///
/// \remark Every method must be called on the loop's thread.
class ColdMonitor
{
public:
    explicit ColdMonitor(ColdMonitorDependencies dependencies);

    /// \brief Sets the service of the target. Without a rate for cold targets, no probe is sent and nothing is limited.
    void setService(const Service &service);

    /// \brief Records an announcement of the target.
    /// \param isNewProcess whether it is the first one of a process; it may have been written before that became cold.
    void recordAnnouncement(Milliseconds remaining, bool isNewProcess);

    /// \brief Records a sign that the target may have become cold.
    void suspect();

    /// \brief See ColdAdmission::maySend().
    [[nodiscard]] bool maySend(std::size_t waiting) const;

    /// \brief See ColdAdmission::timeToSend().
    [[nodiscard]] Microseconds timeToSend(std::size_t waiting) const;

    /// \brief Records that a request is sent to the target.
    void recordSent();

    /// \brief See ColdAdmission::report().
    [[nodiscard]] ColdReport report(bool isRefused);

private:
    void poll();
    void finishProbe(std::optional<Milliseconds> remaining);
    void reportChange(bool isNowWarm);

    ColdMonitorDependencies m_dependencies;
    ColdAdmission m_admission;
    std::string m_healthPath;
    LoopTimer m_probeTimer;
    std::optional<MonotonicTime> m_probeTimerAt;
    bool m_isCold = false; ///< as last passed to onChanged
};

} // namespace dandeliondock
