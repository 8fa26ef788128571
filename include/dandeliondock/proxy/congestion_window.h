#pragma once

#include <dandeliondock/core/units.h>

namespace dandeliondock {

/// \brief Round trip above which the link counts as congested; without congestion a round trip takes about 25 ms.
inline constexpr Milliseconds congestedRoundTrip{120};
/// \brief Shortest time between two reductions of the window. Responses that were in flight together indicate the same
/// congestion.
inline constexpr Milliseconds reductionInterval{200};
/// \brief Initial, smallest and largest window: response bytes from other regions that one proxy may have in flight. A
/// link of 30 Mbit/s carries 160 kB in 43 ms, and several proxies share it.
inline constexpr double initialCongestionWindow = 160'000;
inline constexpr double minCongestionWindow = 10'000;
inline constexpr double maxCongestionWindow = 640'000;
/// \brief Smallest number of bytes counted for a transfer; a request with its headers takes as many even if its
/// response is shorter.
inline constexpr ByteCount minTransferSize{1'000};
/// \brief Responses up to this size count as short. Short transfers add little to congestion and do not wait for longer
/// ones: they are mostly orders, and calls made by running requests, whose work is lost when the call fails.
inline constexpr ByteCount maxShortTransferSize{3'000};
/// \brief Round trip above which short transfers share the window with long ones, because their callers give up before
/// the response arrives.
inline constexpr Milliseconds shortTransferRoundTripLimit{250};
/// \brief Time after which the last sampled round trip no longer describes the link.
inline constexpr Milliseconds roundTripTtl{1'000};

/// \brief Limits the response bytes that a proxy has in flight from other regions; the limit falls while round trips
/// are long and grows again while they are short.
///
/// Load pattern: a region that is short of targets sends its requests over a narrow link. The queue of that link then
/// delays all its traffic by seconds, including configuration updates. Long responses fill the link, so long and short
/// transfers are counted separately; otherwise short ones would be refused together with long ones.
///
/// \remark Not thread-safe.
class CongestionWindow
{
public:
    /// \brief Whether a request with this expected response size may be sent now; always true when nothing is in
    /// flight.
    [[nodiscard]] bool hasRoom(ByteCount response, MonotonicTime now) const noexcept;

    /// \brief Records that a request with this expected response size is sent.
    void startTransfer(ByteCount response) noexcept;

    /// \brief Records that a request has ended, with or without a response.
    /// \pre startTransfer() was called with the same size.
    void endTransfer(ByteCount response) noexcept;

    /// \brief Records a round trip and adjusts the window; \c roundTrip excludes the time spent at the target's proxy.
    void recordRoundTrip(ByteCount response, Microseconds roundTrip, MonotonicTime now) noexcept;

    /// \brief Returns the number of response bytes that may be in flight.
    [[nodiscard]] double window() const noexcept { return m_window; }

private:
    double m_window = initialCongestionWindow;
    double m_longTransferBytes = 0;  ///< of long transfers in flight
    double m_shortTransferBytes = 0; ///< of short transfers in flight
    MonotonicTime m_reducedAt;
    Microseconds m_lastRoundTrip{0};
    MonotonicTime m_lastRoundTripAt;
};

} // namespace dandeliondock
