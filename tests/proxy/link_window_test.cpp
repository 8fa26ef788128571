#include <dandeliondock/proxy/link_window.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

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
    LinkWindow window;
    for (int round = 0; round < 500; ++round) {
        std::uint32_t sent = 0;
        while (window.hasRoom()) {
            window.begin();
            ++sent;
        }
        const std::uint32_t callers = 8; // proxies that share the link and see the same
        for (std::uint32_t index = 0; index < sent; ++index) {
            window.end();
            window.note(wayOf(sent * callers), at(round * 50));
        }
    }
    CHECK(wayOf(static_cast<std::uint32_t>(window.window()) * 8) < Milliseconds(200));
    const double settled = window.window();
    for (int round = 0; round < 400; ++round)
        window.note(Milliseconds(25), at(100'000 + round));
    CHECK(window.window() > settled * 2);
}

// Guards against a window that falls to nothing by one congestion, or that closes for good.
TEST_CASE("replies that were under way together reduce the window once, and one request may always be sent", "[proxy]")
{
    LinkWindow window;
    for (int index = 0; index < 50; ++index)
        window.note(Seconds(1), at(0));
    CHECK(window.window() == Approx(firstLinkWindow * 0.7));
    for (int index = 0; index < 50; ++index)
        window.note(Seconds(1), at(1'000 * index));
    CHECK(window.window() == Approx(smallestLinkWindow));
    CHECK(window.hasRoom());
}

} // namespace dandeliondock
