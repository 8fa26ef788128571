#pragma once

#include <dandeliondock/core/units.h>

#include <cstddef>

namespace dandeliondock {

/// \brief Consecutive failures that eject a target; a refused connection ejects at once.
inline constexpr int failuresToEject = 5;
inline constexpr Milliseconds firstEjection{1'000};
inline constexpr Milliseconds longestEjection{60'000};

/// \brief Whether one more target may be ejected: never more than half. Thread-safe.
[[nodiscard]] constexpr bool mayEject(std::size_t ejected, std::size_t targets) noexcept
{
    return (ejected + 1) * 2 <= targets;
}

/// \brief Ejection of one target by one caller.
///
/// \remark A value; not thread-safe.
class OutlierEjection
{
public:
    /// \brief Notes an answer; ends an ejection when it was the trial's.
    void succeeded(bool isTrial) noexcept;

    /// \brief Notes a failure.
    ///
    /// \param isRefusal whether the connection was refused.
    /// \param isTrial what begin() told of the request.
    /// \return Whether the target should be ejected; a failed trial ejects again by itself.
    [[nodiscard]] bool failed(bool isRefusal, bool isTrial, MonotonicTime now) noexcept;

    /// \brief Ejects; each ejection without an answer in between lasts twice as long as the one before.
    void eject(MonotonicTime now) noexcept;

    /// \brief Ends the ejection without a trial.
    void readmit() noexcept
    {
        m_ejected = false;
        m_trialRuns = false;
    }

    [[nodiscard]] bool isEjected() const noexcept { return m_ejected; }

    /// \brief End of the ejection; meaningful while ejected.
    [[nodiscard]] MonotonicTime until() const noexcept { return m_until; }

    /// \brief Whether a request may be sent: not ejected, or the one trial after the time is free.
    [[nodiscard]] bool isUsable(MonotonicTime now) const noexcept
    {
        return !m_ejected || (now >= m_until && !m_trialRuns);
    }

    /// \brief Notes that a request is sent.
    ///
    /// \return Whether it is the trial of an ejection.
    /// \pre isUsable() at this time.
    [[nodiscard]] bool begin() noexcept
    {
        m_trialRuns = m_ejected;
        return m_trialRuns;
    }

    /// \brief Notes that a request ended without showing anything.
    void abandon(bool isTrial) noexcept { m_trialRuns = m_trialRuns && !isTrial; }

private:
    bool m_ejected = false;
    bool m_trialRuns = false;
    int m_failures = 0;
    int m_ejections = 0;
    MonotonicTime m_until;
};

} // namespace dandeliondock
