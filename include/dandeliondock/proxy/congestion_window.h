#pragma once

#include <dandeliondock/core/units.h>

namespace dandeliondock {

/// \brief Time on the way beyond which the link counts as congested: the way itself takes about 25 ms.
inline constexpr Milliseconds congestedRoundTrip{120};
/// \brief Time between two reductions: replies that were under way together tell of one congestion.
inline constexpr Milliseconds reductionPause{200};
/// \brief Bytes of responses from other regions that one proxy has under way at first, at least and at most. A link of
/// 30 Mbit/s carries 160 kB in 43 ms, and several proxies share it.
inline constexpr double initialCongestionWindow = 160'000;
inline constexpr double minCongestionWindow = 10'000;
inline constexpr double maxCongestionWindow = 640'000;
/// \brief Bytes that a request takes with its headers, whatever its response.
inline constexpr ByteCount smallestTransfer{1'000};
/// \brief Transfers up to this size hardly add to a congestion and wait for none of the longer ones: they are mostly
/// orders, and calls of running requests whose whole work is lost with them.
inline constexpr ByteCount shortTransfer{3'000};
/// \brief Time on the way from which on short transfers wait with the long ones: their callers leave before they
/// arrive.
inline constexpr Milliseconds shortTransferRoundTripLimit{250};
/// \brief Time after which the last way no longer tells of the link.
inline constexpr Milliseconds roundTripTtl{1'000};

/// \brief How many bytes a proxy has under way from other regions: fewer while they are long on the way.
///
/// Load pattern: a region that is short of targets sends its work over a narrow link, whose queue then delays
/// everything on it by seconds, the configuration too. Long responses fill the link, and short ones are refused with
/// them unless the two are counted apart.
///
/// \remark Not thread-safe.
class CongestionWindow
{
public:
    /// \brief Whether another request may be sent whose response is likely to have a size.
    [[nodiscard]] bool hasRoom(ByteCount response, MonotonicTime now) const noexcept;

    /// \brief A request is sent whose response is likely to have a size.
    void begin(ByteCount response) noexcept;

    /// \brief A request has ended, however it ended.
    /// \pre begin() was called with the same size.
    void end(ByteCount response) noexcept;

    /// \brief Takes in the time that a request and its response were on the way.
    void recordRoundTrip(ByteCount response, Microseconds way, MonotonicTime now) noexcept;

    /// \brief Bytes that may be under way.
    [[nodiscard]] double window() const noexcept { return m_window; }

private:
    double m_window = initialCongestionWindow;
    double m_long = 0;  ///< bytes of longer transfers under way
    double m_short = 0; ///< bytes of short transfers under way
    MonotonicTime m_reducedAt;
    Microseconds m_way{0}; ///< the last one
    MonotonicTime m_notedAt;
};

} // namespace dandeliondock
