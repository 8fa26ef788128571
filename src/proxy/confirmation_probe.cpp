#include <dandeliondock/config/config_lease.h>
#include <dandeliondock/proxy/confirmation_probe.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

ConfirmationProbe::ConfirmationProbe(ConfirmationProbeDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void ConfirmationProbe::start()
{
    if (!m_dependencies.bound)
        return;
    const Milliseconds interval = std::max<Milliseconds>(
            confirmationProbeInterval, confirmationProbeShare * static_cast<int>(m_dependencies.fleetSize()));
    m_timer = m_dependencies.loop->after(interval, [this] {
        probeWhenDue();
        start();
    });
}

void ConfirmationProbe::recordConfirmation(BootTime confirmedAt)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
}

void ConfirmationProbe::probeWhenDue()
{
    if (!isConfirmationOld(m_confirmedAt, *m_dependencies.bound, BootClock::now()) || !m_dependencies.isNeeded()
        || m_openProbes >= m_dependencies.openProbeLimit())
        return;
    ++m_openProbes;
    m_dependencies.metrics->counter("key_confirmation_probes_total").add();
    m_dependencies.poll([this] { --m_openProbes; });
}

} // namespace dandeliondock
