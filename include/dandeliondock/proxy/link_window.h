#pragma once

#include <dandeliondock/core/units.h>

#include <cstdint>

namespace dandeliondock {

/// \brief Time on the way beyond which the link counts as congested: the way itself takes about 25 ms.
inline constexpr Milliseconds congestedWay{120};
/// \brief Time between two reductions: replies that were under way together tell of one congestion.
inline constexpr Milliseconds reductionPause{200};
/// \brief Requests to other regions that one proxy has under way at first, at least and at most.
inline constexpr double firstLinkWindow = 16;
inline constexpr double smallestLinkWindow = 1;
inline constexpr double largestLinkWindow = 64;

/// \brief How many requests a proxy has under way to other regions: fewer while they are long on the way.
///
/// Load pattern: a region that is short of targets sends its work over a narrow link, whose queue then delays
/// everything on it by seconds, the configuration too.
///
/// \remark Not thread-safe.
class LinkWindow
{
public:
    /// \brief Whether another request may be sent.
    [[nodiscard]] bool hasRoom() const noexcept { return static_cast<double>(m_inFlight) < m_window; }

    void begin() noexcept { ++m_inFlight; }
    void end() noexcept { --m_inFlight; }

    /// \brief Takes in the time that a request and its response were on the way.
    void note(Microseconds way, MonotonicTime now) noexcept;

    [[nodiscard]] double window() const noexcept { return m_window; }

private:
    double m_window = firstLinkWindow;
    std::uint32_t m_inFlight = 0;
    MonotonicTime m_reducedAt;
};

} // namespace dandeliondock
