#include "support/loop_thread.h"

#include <dandeliondock/proxy/forwarder.h>

#include <catch2/catch.hpp>

#include <memory>
#include <utility>

namespace dandeliondock::testing {
namespace {

/// Request that keeps its response.
class RecordedRequest : public HttpRequestContext
{
public:
    explicit RecordedRequest(HttpRequest request) : m_request(std::move(request)) {}

    [[nodiscard]] const HttpRequest &request() const noexcept override { return m_request; }
    [[nodiscard]] HttpRequest &request() noexcept override { return m_request; }
    [[nodiscard]] MonotonicTime arrivedAt() const noexcept override { return EventLoop::now(); }
    void respond(HttpResponse response) override { status = response.status; }
    void abort() override {}
    void onCancelled(std::function<void()> /*hook*/) override {}

    int status = 0;

private:
    HttpRequest m_request;
};

} // namespace

// Guards against failures of the local target that are blamed on another service because the proxy refused an unrelated
// request.
TEST_CASE("a request that is refused before its service is known does not count as a failed call", "[proxy]")
{
    LoopThread thread;
    MetricsRegistry metrics;
    thread.run([&] {
        ForwarderDependencies dependencies;
        dependencies.loop = &thread.loop();
        dependencies.metrics = &metrics;
        dependencies.random = seededRandom(1);
        dependencies.callerService = ServiceName("own");
        Forwarder forwarder(dependencies);
        const auto request = std::make_shared<RecordedRequest>(HttpRequest{"GET", "/a/1", {}, {}});
        forwarder.handle(request);
        CHECK(request->status == 503);
        CHECK(forwarder.lastDependencyFailure() == MonotonicTime());
    });
}

} // namespace dandeliondock::testing
