#include <dandeliondock/places/cold_admission.h>

#include <algorithm>
#include <cmath>

namespace dandeliondock {

namespace {

constexpr double microsecondsPerSecond = 1'000'000;
constexpr double millisecondsPerSecond = 1'000;
constexpr double roundingError = 1e-6; // of sums of tokens

} // namespace

double ColdAdmission::bound() const
{
    return m_coldStart.rate.value() * m_bounds.factor + m_bounds.slack.value();
}

// At least 1, because a bucket that never holds a whole token admits nothing.
double ColdAdmission::burst() const
{
    return std::max(1.0, m_bounds.slack.value() * usedSlackShare);
}

double ColdAdmission::fillRate() const
{
    return std::min(m_coldStart.rate.value(), std::max(bound() - burst(), bound() / 2));
}

double ColdAdmission::tokens(MonotonicTime now) const
{
    return std::min(burst(), m_tokens + fillRate() * std::chrono::duration<double>(now - m_tokensAt).count());
}

// Requests of the last second that were sent after the target was last known to be warm. Older ones do not count for
// the bound.
double ColdAdmission::unconfirmed(MonotonicTime now) const
{
    return sentSince(std::max(m_confirmedAt, now - Seconds(1)));
}

// Number of requests sent since a time in the last second, up to 50 ms before it included.
double ColdAdmission::sentSince(MonotonicTime start) const
{
    const std::int64_t first =
            std::max<std::int64_t>(start.time_since_epoch() / slotTime, m_latestSlot - countedSlots + 1);
    std::uint64_t sent = 0;
    for (std::int64_t slot = first; slot <= m_latestSlot; ++slot)
        sent += m_sent.at(static_cast<std::size_t>(slot % countedSlots));
    return static_cast<double>(sent);
}

void ColdAdmission::setColdStart(const ColdStart &coldStart, MonotonicTime now)
{
    m_isConfigured = true;
    if (coldStart == m_coldStart)
        return;
    const bool hadRate = hasRate();
    m_coldStart = coldStart;
    if (!hasRate()) {
        setWarm(now);
        return;
    }
    if (hadRate)
        return;
    // Requests sent before this were not counted, and the target may be cold.
    m_tokens = 0;
    m_tokensAt = now;
    if (now < m_coldUntil)
        setCold(std::chrono::ceil<Milliseconds>(m_coldUntil - now), now);
    else
        suspect(now);
}

void ColdAdmission::setCold(Milliseconds remaining, MonotonicTime now)
{
    m_state = State::Cold;
    m_coldUntil = now + remaining;
    m_limitedUntil = m_coldUntil + std::max(minSuspicion, m_coldStart.duration);
}

void ColdAdmission::setWarm(MonotonicTime now)
{
    if (m_state == State::Cold)
        m_warmAt = now;
    m_state = State::Warm;
}

void ColdAdmission::recordAnnouncement(Milliseconds remaining, MonotonicTime now)
{
    if (!m_isConfigured)
        m_coldUntil = now + remaining;
    if (!hasRate())
        return;
    if (remaining.count() > 0) {
        setCold(remaining, now);
    } else if (now - m_signAt >= announcementDelay) {
        setWarm(now);
        m_confirmedAt = std::max(m_confirmedAt, now - announcementDelay);
    }
}

void ColdAdmission::suspect(MonotonicTime now)
{
    if (!hasRate())
        return;
    m_signAt = now;
    if (m_state != State::Warm && now < m_limitedUntil)
        return;
    m_state = State::Suspected;
    m_limitedUntil = now + std::max(minSuspicion, m_coldStart.duration);
}

bool ColdAdmission::needsProbe(MonotonicTime now) const
{
    if (!hasRate())
        return false;
    if (m_state != State::Warm && now < m_limitedUntil)
        return m_state == State::Suspected || now >= m_coldUntil;
    return unconfirmed(now) >= probeShare * bound();
}

bool ColdAdmission::isProbeDue(MonotonicTime now) const
{
    return !m_isProbing && now >= m_nextProbeAt && needsProbe(now);
}

std::optional<Microseconds> ColdAdmission::timeToProbe(MonotonicTime now) const
{
    if (m_isProbing || !hasRate())
        return std::nullopt;
    if (needsProbe(now))
        return std::max(m_nextProbeAt - now, Microseconds{0});
    if (isCold(now))
        return m_coldUntil - now;
    return std::nullopt;
}

void ColdAdmission::startProbe(MonotonicTime now)
{
    m_isProbing = true;
    m_probeStartedAt = now;
}

void ColdAdmission::finishProbe(std::optional<Milliseconds> remaining, MonotonicTime now)
{
    m_isProbing = false;
    m_nextProbeAt = now + (remaining ? coldProbeInterval : coldProbeRetryDelay);
    if (!remaining) {
        m_failedProbes = std::min(m_failedProbes + 1, maxFailedProbes);
        return;
    }
    m_failedProbes = 0;
    if (!hasRate())
        return;
    if (remaining->count() > 0) {
        m_signAt = now;
        setCold(*remaining, now);
        return;
    }
    // The response may have been written before a sign that was seen after the probe started.
    if (m_state != State::Warm && m_signAt > m_probeStartedAt)
        return;
    setWarm(now);
    m_confirmedAt = m_probeStartedAt;
}

bool ColdAdmission::isLimited(MonotonicTime now) const
{
    if (!m_isConfigured)
        return now < m_coldUntil;
    if (!hasRate())
        return false;
    if (m_state != State::Warm && now < m_limitedUntil)
        return true;
    // A target that becomes cold again at once has its requests of the earlier cold time in the same second.
    const bool wasCold = now - m_warmAt < Seconds(1);
    const double sent = wasCold ? sentSince(now - Seconds(1)) : unconfirmed(now);
    return hasUsableProbes() && sent >= std::max(1.0, unconfirmedShare * bound());
}

bool ColdAdmission::maySend(std::size_t waiting, MonotonicTime now) const
{
    return !isLimited(now) || (hasRate() && tokens(now) + roundingError >= static_cast<double>(waiting) + 1);
}

Microseconds ColdAdmission::timeToSend(std::size_t waiting, MonotonicTime now) const
{
    if (maySend(waiting, now))
        return Microseconds{0};
    if (!hasRate())
        return configurationDelay;
    const double missing = static_cast<double>(waiting) + 1 - tokens(now);
    return Microseconds(static_cast<std::int64_t>(std::ceil(missing / fillRate() * microsecondsPerSecond)));
}

void ColdAdmission::recordSent(MonotonicTime now)
{
    if (!hasRate())
        return;
    // Below the negated fill rate, the bucket admits nothing for a second, after which earlier requests do not count.
    m_tokens = std::max(-fillRate(), tokens(now) - 1);
    m_tokensAt = now;
    const std::int64_t slot = now.time_since_epoch() / slotTime;
    if (slot - m_latestSlot >= countedSlots)
        m_sent.fill(0);
    else
        for (std::int64_t skipped = m_latestSlot + 1; skipped <= slot; ++skipped)
            m_sent.at(static_cast<std::size_t>(skipped % countedSlots)) = 0;
    m_latestSlot = std::max(m_latestSlot, slot);
    ++m_sent.at(static_cast<std::size_t>(slot % countedSlots));
}

ColdReport ColdAdmission::report(bool isRefused, MonotonicTime now)
{
    if (!isLimited(now))
        return {};
    if (!hasRate())
        return {suspicionReport, configurationDelay, configurationDelay};
    ColdReport report;
    report.remaining = suspicionReport;
    if (isCold(now))
        report.remaining = std::chrono::ceil<Milliseconds>(m_coldUntil - now);
    report.interval = Milliseconds(static_cast<std::int64_t>(std::ceil(millisecondsPerSecond / fillRate())));
    const Microseconds delay = isRefused ? timeToSend(0, now) : Microseconds{0};
    const MonotonicTime latest = now + maxColdWait;
    const MonotonicTime turn = std::min(latest, std::max(m_nextTurn, now + delay));
    m_nextTurn = std::min(latest, turn + report.interval);
    report.wait = std::chrono::ceil<Milliseconds>(turn - now);
    return report;
}

} // namespace dandeliondock
