#include <dandeliondock/proxy/link_pacer.h>

#include <catch2/catch.hpp>

#include <stdexcept>

namespace dandeliondock {

// Guards against one failed response after which no long response is written any more.
TEST_CASE("grants go on after a handler of a grant has thrown", "[proxy]")
{
    constexpr ByteCount file{90'000};
    EventLoop loop;
    LinkPacer pacer(loop, DataRate(10'000'000));
    const TransferHooks hooks = pacer.hooks();
    bool isGranted = false;
    loop.post([&] { hooks.awaitGrant(hooks.begin(file), [](ByteCount) { throw std::runtime_error("failed"); }); });
    loop.post([&] {
        hooks.awaitGrant(hooks.begin(file), [&](ByteCount) {
            isGranted = true;
            loop.stop();
        });
    });
    const LoopTimer end = loop.after(Seconds(2), [&loop] { loop.stop(); });
    loop.run();
    CHECK(isGranted);
}

} // namespace dandeliondock
