#pragma once

#include <dandeliondock/core/units.h>

#include <cstddef>

namespace dandeliondock {

/// \brief Consecutive failures after which a target is ejected; a refused connection ejects it at once.
inline constexpr int failuresToEject = 5;
/// \brief Time of the first ejection; it doubles with each further one up to maxEjectionTime.
inline constexpr Milliseconds initialEjectionTime{1'000};
inline constexpr Milliseconds maxEjectionTime{60'000};

/// \brief Whether one more target may be ejected; at most half of the targets are. Thread-safe.
[[nodiscard]] constexpr bool mayEject(std::size_t ejected, std::size_t targets) noexcept
{
    return (ejected + 1) * 2 <= targets;
}

/// \brief Ejection state of one target, as kept by one caller. After the ejection time a single trial request decides
/// whether the target is used again.
///
/// \remark A value; not thread-safe.
class OutlierEjection
{
public:
    /// \brief Records a success; ends the ejection when it is the success of the trial.
    void recordSuccess(bool isTrial) noexcept;

    /// \brief Records a failure.
    ///
    /// \param isConnectionRefused whether the connection was refused, which ejects at once.
    /// \param isTrial the result of startRequest() for the request.
    /// \return Whether the caller should call eject(). A failed trial extends the ejection itself and returns false.
    [[nodiscard]] bool recordFailure(bool isConnectionRefused, bool isTrial, MonotonicTime now) noexcept;

    /// \brief Ejects the target. Each ejection without a success in between lasts twice as long as the previous one.
    void eject(MonotonicTime now) noexcept;

    /// \brief Ends the ejection without a trial.
    void readmit() noexcept
    {
        m_ejected = false;
        m_isTrialRunning = false;
    }

    [[nodiscard]] bool isEjected() const noexcept { return m_ejected; }

    /// \brief Returns the end of the ejection; only meaningful while ejected.
    [[nodiscard]] MonotonicTime endsAt() const noexcept { return m_endsAt; }

    /// \brief Whether a request may be sent: the target is not ejected, or its ejection time is over and no trial is in
    /// progress.
    [[nodiscard]] bool isUsable(MonotonicTime now) const noexcept
    {
        return !m_ejected || (now >= m_endsAt && !m_isTrialRunning);
    }

    /// \brief Records the start of a request.
    ///
    /// \return Whether the request is the trial after an ejection.
    /// \pre isUsable() returns true at this time.
    [[nodiscard]] bool startRequest() noexcept
    {
        m_isTrialRunning = m_ejected;
        return m_isTrialRunning;
    }

    /// \brief Records a request that ended without evidence about the target; a trial may then be repeated.
    void abandon(bool isTrial) noexcept { m_isTrialRunning = m_isTrialRunning && !isTrial; }

private:
    bool m_ejected = false;
    bool m_isTrialRunning = false;
    int m_failures = 0;
    int m_ejections = 0;
    MonotonicTime m_endsAt;
};

} // namespace dandeliondock
