#include <dandeliondock/http/event_loop.h>

#include <catch2/catch.hpp>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace dandeliondock::testing {

// Guards against a timer that is removed from the wrong container when its owner is destroyed with the loop.
TEST_CASE("a loop can be destroyed while callbacks of its timers own later timers", "[http]")
{
    auto loop = std::make_unique<EventLoop>();
    std::vector<LoopTimer> timers;
    int fired = 0;
    for (int index = 0; index < 200; ++index) {
        const auto owned = std::make_shared<LoopTimer>(loop->after(Seconds(20 + index), [&fired] { ++fired; }));
        timers.push_back(loop->after(Seconds(10), [owned, &fired] { ++fired; }));
    }
    loop.reset();
    CHECK(fired == 0);
}

// Guards against one message that ends the whole process.
TEST_CASE("an exception of one handler ends neither the loop nor its timers", "[http]")
{
    EventLoop loop;
    std::vector<std::string> errors;
    loop.onError([&errors](const std::string &text) { errors.push_back(text); });
    int fired = 0;
    std::vector<LoopTimer> timers;
    loop.post([] { throw std::runtime_error("posted"); });
    timers.push_back(loop.after(Milliseconds(5), [] { throw std::runtime_error("timer"); }));
    timers.push_back(loop.after(Milliseconds(5), [&fired] { ++fired; }));
    timers.push_back(loop.after(Milliseconds(20), [&fired, &loop] {
        ++fired;
        loop.stop();
    }));
    loop.run();
    CHECK(errors == std::vector<std::string>{"posted", "timer"});
    CHECK(fired == 2);
}

} // namespace dandeliondock::testing
