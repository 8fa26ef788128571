#include <dandeliondock/proxy/mailbox.h>
#include <dandeliondock/proxy/proxy.h>

#include "traffic_duty.h"

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

namespace dandeliondock {

namespace {

// Large enough for the updates when the whole fleet starts at once. Updates that are dropped on overflow are sent
// again after the next full read.
constexpr std::size_t controlUpdateCapacity = 65'536;
constexpr std::size_t trafficUpdateCapacity = 4'096;
// Bound on the responses that the control duty receives at once. A page of the store has at most 1 MB of values, which
// take 1.4 MB as base64, but changes have no pages: several versions of a configuration of thousands of routes may be
// in one response, and several responses may be received side by side.
constexpr ByteCount maxControlResponseBytes{16'777'216};

AsyncClientLimits controlClientLimits()
{
    AsyncClientLimits limits;
    limits.maxResponseBytes = maxControlResponseBytes;
    limits.maxBufferedBytes = maxControlResponseBytes;
    return limits;
}

} // namespace

class Proxy::Impl
{
public:
    Impl(const ProxySettings &settings, PlatformAdapter adapter, LogSink log)
        : m_settings(settings), m_adapter(std::move(adapter)), m_log(std::move(log)),
          m_controlClient(m_controlLoop, controlClientLimits()),
          m_trafficUpdates(m_controlLoop, trafficUpdateCapacity,
                           [this](TrafficUpdate update) { applyTrafficUpdate(update); }),
          m_controlUpdates(m_trafficLoop, controlUpdateCapacity,
                           [this](ControlUpdate update) { m_traffic.apply(std::move(update)); }),
          m_traffic(m_trafficLoop, m_settings, m_adapter, m_metrics, m_log,
                    [this](TrafficUpdate update) { m_trafficUpdates.push(std::move(update)); }),
          m_control(controlDependencies())
    {
    }

    absl::Status start()
    {
        if (absl::Status status = m_traffic.listen(); !status.ok())
            return status;
        logErrors(m_controlLoop, "control");
        logErrors(m_trafficLoop, "traffic");
        m_control.start();
        m_controlThread = std::thread([this] { m_controlLoop.run(); });
        m_trafficThread = std::thread([this] { m_trafficLoop.run(); });
        return absl::OkStatus();
    }

    void stop()
    {
        if (!m_trafficThread.joinable())
            return;
        m_controlLoop.post([this] { m_control.stop(); });
        std::promise<void> drained;
        m_trafficLoop.post([this, &drained] { m_traffic.drain([&drained] { drained.set_value(); }); });
        drained.get_future().wait();
        m_trafficLoop.stop();
        m_controlLoop.stop();
        m_trafficThread.join();
        m_controlThread.join();
    }

private:
    // One message that cannot be handled must not end the process.
    void logErrors(EventLoop &loop, absl::string_view duty)
    {
        loop.onError([this, duty](const std::string &text) {
            m_metrics.counter("duty_errors_total", duty).add();
            LogEvent(LogLevel::Error, "duty.error").field("duty", duty).field("detail", text).write(m_log);
        });
    }

    ControlDutyDependencies controlDependencies()
    {
        ControlDutyDependencies dependencies;
        dependencies.loop = &m_controlLoop;
        dependencies.client = &m_controlClient;
        dependencies.table = m_adapter.table(m_controlClient, m_settings.store);
        dependencies.documents = m_adapter.documents;
        dependencies.metrics = &m_metrics;
        dependencies.log = m_log;
        dependencies.random = systemRandom();
        dependencies.node = m_settings.node;
        dependencies.incarnation = Incarnation(static_cast<std::uint64_t>(
                std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()));
        dependencies.inboundAddress = m_settings.inbound;
        dependencies.region = m_settings.region;
        dependencies.dataCentre = m_settings.dataCentre;
        dependencies.service = m_settings.service;
        dependencies.keyWithdrawalBound = m_settings.keyWithdrawalBound;
        dependencies.quota = m_settings.quota;
        dependencies.publish = [this](ControlUpdate update) { m_controlUpdates.push(std::move(update)); };
        return dependencies;
    }

    void applyTrafficUpdate(TrafficUpdate &update)
    {
        if (const auto *endpoint = std::get_if<Endpoint>(&update))
            m_control.announce(*endpoint);
        else if (const auto *attempts = std::get_if<RolloutAttempts>(&update))
            std::for_each(attempts->begin(), attempts->end(),
                          [this](const RolloutAttempt &attempt) { m_control.record(attempt.report, attempt.rollout); });
        else if (auto *usage = std::get_if<AccountUsages>(&update))
            m_control.reportUsage(std::move(*usage));
        else if (auto *call = std::get_if<PeerCall>(&update))
            m_control.handle(call->kind, call->body.text(), std::move(call->respond));
    }

    const ProxySettings m_settings;
    const PlatformAdapter m_adapter;
    LogSink m_log;
    MetricsRegistry m_metrics;
    EventLoop m_controlLoop;
    EventLoop m_trafficLoop;
    AsyncHttpClient m_controlClient;
    Mailbox<TrafficUpdate> m_trafficUpdates;
    Mailbox<ControlUpdate> m_controlUpdates;
    TrafficDuty m_traffic;
    ControlDuty m_control;
    std::thread m_controlThread;
    std::thread m_trafficThread;
};

Proxy::Proxy(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Proxy::~Proxy()
{
    m_impl->stop();
}

absl::StatusOr<std::unique_ptr<Proxy>> Proxy::start(const ProxySettings &settings, PlatformAdapter adapter, LogSink log)
{
    auto impl = std::make_unique<Impl>(settings, std::move(adapter), std::move(log));
    if (absl::Status status = impl->start(); !status.ok())
        return status;
    return std::unique_ptr<Proxy>(new Proxy(std::move(impl)));
}

void Proxy::stop()
{
    m_impl->stop();
}

} // namespace dandeliondock
