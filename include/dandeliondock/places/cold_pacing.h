#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/places/cold_report.h>

namespace dandeliondock {

/// \brief Decides when a caller's proxy may send a request to one cold target.
///
/// Each result of the proxy beside the target contains a time for the sender's next request; the times that all senders
/// got add up to the rate of the target. Until the next result, a sender goes on at the interval of its last wait,
/// which it shortens step by step while it need not wait: then other senders do not use the rate.
///
/// \remark Not thread-safe.
class ColdPacing
{
public:
    /// \brief Applies the report in a result of the target's proxy.
    void record(const ColdReport &report, MonotonicTime now);

    /// \brief Whether the target is known to be cold.
    [[nodiscard]] bool isCold(MonotonicTime now) const noexcept { return now < m_coldUntil; }

    /// \brief Whether a request may be sent now.
    [[nodiscard]] bool maySend(MonotonicTime now) const noexcept { return !isCold(now) || now >= m_nextAt; }

    /// \brief Returns the time after which maySend() will hold; 0 if it holds.
    [[nodiscard]] Microseconds timeToSend(MonotonicTime now) const noexcept;

    /// \brief Records that a request is sent.
    void recordSent(MonotonicTime now);

private:
    MonotonicTime m_coldUntil;
    MonotonicTime m_nextAt;
    Microseconds m_interval{0}; ///< time between two requests of this sender
    bool m_hasTurn = false;     ///< a report set m_nextAt, and no request was sent since
};

} // namespace dandeliondock
