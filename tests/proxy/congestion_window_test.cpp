#include <dandeliondock/proxy/congestion_window.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

constexpr ByteCount page{10'000};
constexpr ByteCount largeFile{90'000};
constexpr ByteCount shortCall{500};

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Milliseconds(100'000 + milliseconds));
}

// Model of a link that queues transfers: each transfer in flight adds 5 ms to a round trip of 25 ms.
Microseconds roundTripWith(std::uint32_t inFlight)
{
    return Milliseconds(25) + Milliseconds(5) * inFlight;
}

} // namespace

// Guards against a link queue that grows without bound: under high load no connection over the link could be opened
// within a second, and configuration updates arrived too late.
TEST_CASE("the window settles where the link is not congested and grows again when the link has room", "[proxy]")
{
    CongestionWindow window;
    for (int round = 0; round < 500; ++round) {
        std::uint32_t sent = 0;
        while (window.hasRoom(page, at(round * 50))) {
            window.startTransfer(page);
            ++sent;
        }
        const std::uint32_t proxies = 8; // proxies that share the link and behave alike
        for (std::uint32_t index = 0; index < sent; ++index) {
            window.endTransfer(page);
            window.recordRoundTrip(page, roundTripWith(sent * proxies), at(round * 50));
        }
    }
    CHECK(roundTripWith(static_cast<std::uint32_t>(window.window() / static_cast<double>(page.value())) * 8)
          < Milliseconds(200));
    const double settled = window.window();
    for (int round = 0; round < 400; ++round)
        window.recordRoundTrip(page, Milliseconds(25), at(100'000 + round));
    CHECK(window.window() > settled * 2);
}

// Guards against a window that collapses in a single congestion or never allows a request again.
TEST_CASE("responses that were in flight together reduce the window once, and one request is always allowed", "[proxy]")
{
    CongestionWindow window;
    for (int index = 0; index < 50; ++index)
        window.recordRoundTrip(page, Seconds(1), at(0));
    CHECK(window.window() == Approx(initialCongestionWindow * 0.7));
    for (int index = 0; index < 50; ++index)
        window.recordRoundTrip(page, Seconds(1), at(1'000 * index));
    CHECK(window.window() == Approx(minCongestionWindow));
    CHECK(window.hasRoom(largeFile, at(200'000)));
    window.startTransfer(largeFile);
    CHECK_FALSE(window.hasRoom(largeFile, at(200'000)));
}

// Guards against refused calls of running requests while long responses fill the link: each refused call lost the whole
// work of the order that made it.
TEST_CASE("long transfers that fill the window leave room for short ones, which are limited too", "[proxy]")
{
    CongestionWindow window;
    for (int round = 0; round < 100; ++round)
        window.recordRoundTrip(largeFile, Seconds(1), at(1'000 * round));
    while (window.hasRoom(largeFile, at(200'000)))
        window.startTransfer(largeFile);
    CHECK_FALSE(window.hasRoom(page, at(200'000)));
    std::uint32_t shortCalls = 0;
    for (; window.hasRoom(shortCall, at(200'000)); ++shortCalls)
        window.startTransfer(shortCall);
    CHECK(shortCalls == static_cast<std::uint32_t>(minCongestionWindow / static_cast<double>(minTransferSize.value())));
    for (; shortCalls > 0; --shortCalls)
        window.endTransfer(shortCall);
    window.endTransfer(largeFile);
    CHECK(window.hasRoom(largeFile, at(200'000)));
}

// Guards against calls whose response arrives long after the caller gave up: under high load a round trip took 0.8 s.
TEST_CASE("short transfers wait on a slow link until its round trip expires or nothing is in flight", "[proxy]")
{
    CongestionWindow window;
    window.startTransfer(largeFile);
    window.recordRoundTrip(shortCall, Milliseconds(200), at(0));
    CHECK(window.hasRoom(shortCall, at(10)));
    for (int index = 0; index < 50; ++index)
        window.recordRoundTrip(shortCall, Milliseconds(600), at(1'000 * index));
    CHECK_FALSE(window.hasRoom(shortCall, at(49'010)));
    CHECK(window.hasRoom(shortCall, at(50'000)));
    window.endTransfer(largeFile);
    CHECK(window.hasRoom(shortCall, at(49'010)));
}

} // namespace dandeliondock
