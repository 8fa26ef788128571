#pragma once

#include <dandeliondock/core/boot_clock.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/event_loop.h>

#include <cstddef>
#include <functional>
#include <optional>

namespace dandeliondock {

/// \brief Time between two probes of one proxy.
inline constexpr Milliseconds confirmationProbeInterval{250};
/// \brief Time between two probes for each serving proxy of a large fleet, which bounds the reads of all proxies
/// together to 1,000 per second; the platform serves about 2,000.
inline constexpr Milliseconds confirmationProbeShare{1};
/// \brief Dependencies of the confirmation probe.
struct ConfirmationProbeDependencies
{
    EventLoop *loop = nullptr;
    MetricsRegistry *metrics = nullptr;
    std::optional<Milliseconds> bound; ///< ConfigLease's bound; empty: no probes
    /// Whether confirmations are needed at present.
    std::function<bool()> isNeeded;
    /// Returns the number of known serving proxies.
    std::function<std::size_t()> fleetSize;
    /// Returns the largest number of probes without a response at present.
    std::function<std::size_t()> openProbeLimit;
    /// Polls the platform for changes without a hold and passes the result to the watch of the table.
    std::function<void(std::function<void()> onEnd)> poll;
};

/// \brief Polls the platform directly while the last confirmation of the configuration is old.
///
/// The watch of the table waits for the timeout of its read and for its retry delay after an interruption, up to 2.2 s,
/// and a proxy below others in the relay tree waits for each of them. Probes are short and overlap, so that a lease is
/// extended within one interval after the platform can be reached again.
///
/// \remark Belongs to the control duty's thread.
class ConfirmationProbe
{
public:
    explicit ConfirmationProbe(ConfirmationProbeDependencies dependencies);

    void start();

    /// \brief Records a time at which the configuration was confirmed.
    void recordConfirmation(BootTime confirmedAt);

private:
    void probeWhenDue();

    ConfirmationProbeDependencies m_dependencies;
    std::optional<BootTime> m_confirmedAt;
    std::size_t m_openProbes = 0;
    LoopTimer m_timer;
};

} // namespace dandeliondock
