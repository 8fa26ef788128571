#include "support/loop_thread.h"

#include <dandeliondock/proxy/cold_monitor.h>
#include <dandeliondock/proxy/inbound_request.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

Service coldService(double rate)
{
    Service service;
    service.name = ServiceName("s");
    service.healthPath = "/health";
    service.coldStart = Seconds(4);
    service.coldRate = RequestRate(rate);
    return service;
}

/// A cold monitor on an event loop; its probes are answered by the test.
class Monitor
{
public:
    Monitor()
    {
        m_thread.run([this] {
            ColdMonitorDependencies dependencies;
            dependencies.loop = &m_thread.loop();
            dependencies.metrics = &m_metrics;
            dependencies.probe = [this](const std::string &path, ColdProbeHandler handler) {
                paths.push_back(path);
                m_probes.push_back(std::move(handler));
            };
            dependencies.onChanged = [this](bool isCold) { changes.push_back(isCold); };
            m_monitor = std::make_unique<ColdMonitor>(dependencies);
        });
    }

    ~Monitor()
    {
        m_thread.run([this] { m_monitor.reset(); });
        m_thread.stop();
    }

    Monitor(const Monitor &) = delete;
    Monitor &operator=(const Monitor &) = delete;

    void run(const std::function<void(ColdMonitor &)> &work)
    {
        m_thread.run([&] { work(*m_monitor); });
    }

    /// Answers the oldest open probe.
    void answer(std::optional<Milliseconds> remaining)
    {
        bool isProbing = false;
        m_thread.run([&] {
            isProbing = !m_probes.empty();
            if (!isProbing)
                return;
            const ColdProbeHandler handler = m_probes.front();
            m_probes.erase(m_probes.begin());
            handler(remaining);
        });
        REQUIRE(isProbing);
    }

    std::vector<std::string> paths; ///< of all probes
    std::vector<bool> changes;

private:
    LoopThread m_thread;
    MetricsRegistry m_metrics;
    std::vector<ColdProbeHandler> m_probes;
    std::unique_ptr<ColdMonitor> m_monitor;
};

HeaderNames headerNames()
{
    HeaderNames names;
    names.coldRemaining = "Cold-Ms";
    return names;
}

} // namespace

// Guards against a target that is flooded because its new process, broken connection or cold state went unnoticed.
TEST_CASE("a sign of a restart sends one probe, whose response sets or removes the limit", "[proxy]")
{
    Monitor monitor;
    monitor.run([](ColdMonitor &item) { item.setService(coldService(10)); });
    monitor.answer(Milliseconds(0));
    monitor.run([](ColdMonitor &item) { CHECK(item.maySend(50)); });
    std::this_thread::sleep_for(coldProbeInterval * 2);
    monitor.run([](ColdMonitor &item) {
        item.suspect();
        item.suspect();
        CHECK_FALSE(item.maySend(50));
    });
    CHECK(monitor.paths == std::vector<std::string>{"/health", "/health"});
    monitor.answer(Milliseconds(2'000));
    monitor.run([](ColdMonitor &item) {
        CHECK_FALSE(item.maySend(50));
        CHECK(item.report(false).remaining > Milliseconds(1'000));
    });
    CHECK(monitor.changes == std::vector<bool>{false, true});
    std::this_thread::sleep_for(announcementDelay * 2);
    monitor.run([](ColdMonitor &item) {
        item.recordAnnouncement(Milliseconds(0), false);
        CHECK(item.maySend(50));
    });
    CHECK(monitor.changes == std::vector<bool>{false, true, false});
}

// Guards against a first heartbeat of a new process that is believed although it was written before the process was
// cold.
TEST_CASE("the first announcement of a process is followed by a probe", "[proxy]")
{
    Monitor monitor;
    monitor.run([](ColdMonitor &item) { item.setService(coldService(10)); });
    monitor.answer(Milliseconds(0));
    std::this_thread::sleep_for(announcementDelay * 2);
    monitor.run([](ColdMonitor &item) { item.recordAnnouncement(Milliseconds(0), false); });
    CHECK(monitor.paths.size() == 1);
    monitor.run([](ColdMonitor &item) {
        item.recordAnnouncement(Milliseconds(0), true);
        CHECK_FALSE(item.maySend(50));
    });
    CHECK(monitor.paths.size() == 2);
}

// Guards against probes that cost processor time where no service has a rate for cold targets.
TEST_CASE("a service without a cold rate is never probed", "[proxy]")
{
    Monitor monitor;
    monitor.run([](ColdMonitor &item) {
        item.setService(coldService(0));
        item.recordAnnouncement(Seconds(4), true);
        item.suspect();
        for (int index = 0; index < 100; ++index)
            item.recordSent();
        CHECK(item.maySend(50));
        CHECK(item.report(true) == ColdReport());
    });
    CHECK(monitor.paths.empty());
}

// Guards against a value of a target that overflows a clock, and against an error page that passes for a warm target.
TEST_CASE("the cold time of a health response is read, and unusable responses say nothing", "[proxy]")
{
    HttpResponse response;
    response.status = 200;
    CHECK(coldRemainingOf(response, headerNames()) == Milliseconds(0));
    response.headers.set("Cold-Ms", "1250");
    CHECK(coldRemainingOf(response, headerNames()) == Milliseconds(1'250));
    for (const char *value : {"", "-1", "soon", "9223372036854775807"}) {
        response.headers.set("Cold-Ms", value);
        CHECK_FALSE(coldRemainingOf(response, headerNames()).has_value());
    }
    HttpResponse failure;
    failure.status = 503;
    CHECK_FALSE(coldRemainingOf(failure, headerNames()).has_value());
    failure.headers.set("Cold-Ms", "700");
    CHECK(coldRemainingOf(failure, headerNames()) == Milliseconds(700));
}

// Guards against senders that overload a cold target because the report is lost on the way, and against proxies of the
// previous version that cannot read the load with it.
TEST_CASE("the report of a cold target is encoded beside the load", "[proxy]")
{
    InboundResult sent;
    sent.refusal = InboundRefusal::Cold;
    sent.load = TargetLoad{3, 0, 16};
    sent.load->cold = {Milliseconds(3'900), Milliseconds(250), Milliseconds(100)};
    HttpResponse message = encodeInboundResult(sent);
    CHECK(message.headers.first("Dock-Load") == "3,0,16");
    const auto received = decodeInboundResult(message);
    REQUIRE(received.ok());
    CHECK(received->refusal == InboundRefusal::Cold);
    REQUIRE(received->load.has_value());
    CHECK(received->load->cold == sent.load->cold);
    CHECK(received->response.headers.lines().empty());
    for (const char *value : {"1,2", "-1,0,0", "1,9223372036854775807,3", "x"}) {
        message.headers.set("Dock-Cold", value);
        const auto malformed = decodeInboundResult(message);
        REQUIRE(malformed.ok());
        CHECK(malformed->load->cold == ColdReport());
    }
    sent.load->cold = {};
    CHECK_FALSE(encodeInboundResult(sent).headers.first("Dock-Cold").has_value());
    for (const InboundRefusal refusal : {InboundRefusal::Evacuated, InboundRefusal::OtherRegion}) {
        sent.refusal = refusal;
        CHECK(decodeInboundResult(encodeInboundResult(sent))->refusal == refusal);
    }
}

} // namespace dandeliondock::testing
