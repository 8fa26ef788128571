#include <dandeliondock/proxy/congestion_window.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

constexpr ByteCount page{10'000};
constexpr ByteCount file{90'000};
constexpr ByteCount call{500};

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Milliseconds(100'000 + milliseconds));
}

// A link that carries a request in a millisecond and queues the rest: the way grows with what is under way.
Microseconds wayOf(std::uint32_t underWay)
{
    return Milliseconds(25) + Milliseconds(5) * underWay;
}

} // namespace

// Guards against a link whose queue grows without bound: on a day of high load no connection over it could be made
// within a second, and configurations came too late.
TEST_CASE("requests under way settle where the link is not congested, and grow again when it has room", "[proxy]")
{
    CongestionWindow window;
    for (int round = 0; round < 500; ++round) {
        std::uint32_t sent = 0;
        while (window.hasRoom(page, at(round * 50))) {
            window.begin(page);
            ++sent;
        }
        const std::uint32_t callers = 8; // proxies that share the link and see the same
        for (std::uint32_t index = 0; index < sent; ++index) {
            window.end(page);
            window.recordRoundTrip(page, wayOf(sent * callers), at(round * 50));
        }
    }
    CHECK(wayOf(static_cast<std::uint32_t>(window.window() / static_cast<double>(page.value())) * 8)
          < Milliseconds(200));
    const double settled = window.window();
    for (int round = 0; round < 400; ++round)
        window.recordRoundTrip(page, Milliseconds(25), at(100'000 + round));
    CHECK(window.window() > settled * 2);
}

// Guards against a window that falls to nothing by one congestion, or that closes for good.
TEST_CASE("replies that were under way together reduce the window once, and one request may always be sent", "[proxy]")
{
    CongestionWindow window;
    for (int index = 0; index < 50; ++index)
        window.recordRoundTrip(page, Seconds(1), at(0));
    CHECK(window.window() == Approx(initialCongestionWindow * 0.7));
    for (int index = 0; index < 50; ++index)
        window.recordRoundTrip(page, Seconds(1), at(1'000 * index));
    CHECK(window.window() == Approx(minCongestionWindow));
    CHECK(window.hasRoom(file, at(200'000)));
    window.begin(file);
    CHECK_FALSE(window.hasRoom(file, at(200'000)));
}

// Guards against calls of running requests that are refused because long responses fill the link: each lost the whole
// work of the order that made it.
TEST_CASE("long responses that fill the link leave room for short ones, which are bounded too", "[proxy]")
{
    CongestionWindow window;
    for (int round = 0; round < 100; ++round)
        window.recordRoundTrip(file, Seconds(1), at(1'000 * round));
    while (window.hasRoom(file, at(200'000)))
        window.begin(file);
    CHECK_FALSE(window.hasRoom(page, at(200'000)));
    std::uint32_t calls = 0;
    for (; window.hasRoom(call, at(200'000)); ++calls)
        window.begin(call);
    CHECK(calls == static_cast<std::uint32_t>(minCongestionWindow / static_cast<double>(smallestTransfer.value())));
    for (; calls > 0; --calls)
        window.end(call);
    window.end(file);
    CHECK(window.hasRoom(file, at(200'000)));
}

// Guards against calls that arrive long after their callers left: on a day of high load they were 0.8 s on the way.
TEST_CASE("short transfers wait while the link is too slow for them, but one may find out that it is not", "[proxy]")
{
    CongestionWindow window;
    window.begin(file);
    window.recordRoundTrip(call, Milliseconds(200), at(0));
    CHECK(window.hasRoom(call, at(10)));
    for (int index = 0; index < 50; ++index)
        window.recordRoundTrip(call, Milliseconds(600), at(1'000 * index));
    CHECK_FALSE(window.hasRoom(call, at(49'010)));
    CHECK(window.hasRoom(call, at(50'000)));
    window.end(file);
    CHECK(window.hasRoom(call, at(49'010)));
}

} // namespace dandeliondock
