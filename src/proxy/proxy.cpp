#include <dandeliondock/proxy/mailbox.h>
#include <dandeliondock/proxy/proxy.h>

#include "traffic_duty.h"

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

namespace dandeliondock {

namespace {

// News of a whole fleet that starts at once fits; what is lost beyond that comes again with the next reading.
constexpr std::size_t newsCapacity = 65'536;
constexpr std::size_t attemptsCapacity = 4'096;

} // namespace

class Proxy::Impl
{
public:
    Impl(const ProxySettings &settings, PlatformAdapter adapter, LogSink log)
        : m_settings(settings), m_adapter(std::move(adapter)), m_log(std::move(log)), m_controlClient(m_controlLoop),
          m_trafficNews(m_controlLoop, attemptsCapacity, [this](TrafficUpdate news) { takeTrafficNews(news); }),
          m_controlNews(m_trafficLoop, newsCapacity, [this](ControlUpdate news) { m_traffic.apply(std::move(news)); }),
          m_traffic(m_trafficLoop, m_settings, m_adapter, m_metrics, m_log,
                    [this](TrafficUpdate news) { m_trafficNews.push(std::move(news)); }),
          m_control(controlParts())
    {
    }

    absl::Status start()
    {
        if (absl::Status status = m_traffic.listen(); !status.ok())
            return status;
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
        std::promise<void> ended;
        m_trafficLoop.post([this, &ended] { m_traffic.drain([&ended] { ended.set_value(); }); });
        ended.get_future().wait();
        m_trafficLoop.stop();
        m_controlLoop.stop();
        m_trafficThread.join();
        m_controlThread.join();
    }

private:
    ControlDutyDependencies controlParts()
    {
        ControlDutyDependencies parts;
        parts.loop = &m_controlLoop;
        parts.client = &m_controlClient;
        parts.table = m_adapter.table(m_controlClient, m_settings.store);
        parts.documents = m_adapter.documents;
        parts.metrics = &m_metrics;
        parts.log = m_log;
        parts.random = systemRandom();
        parts.node = m_settings.node;
        parts.incarnation = Incarnation(static_cast<std::uint64_t>(
                std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()));
        parts.inboundAddress = m_settings.inbound;
        parts.region = m_settings.region;
        parts.service = m_settings.service;
        parts.publish = [this](ControlUpdate news) { m_controlNews.push(std::move(news)); };
        return parts;
    }

    void takeTrafficNews(TrafficUpdate &news)
    {
        if (const auto *endpoint = std::get_if<Endpoint>(&news))
            m_control.announce(*endpoint);
        else if (const auto *attempts = std::get_if<RolloutAttempts>(&news))
            std::for_each(attempts->begin(), attempts->end(),
                          [this](const RolloutAttempt &attempt) { m_control.record(attempt.report, attempt.rollout); });
        else if (auto *call = std::get_if<PeerCall>(&news))
            m_control.handle(call->path, call->body, std::move(call->respond));
    }

    const ProxySettings m_settings;
    const PlatformAdapter m_adapter;
    LogSink m_log;
    MetricsRegistry m_metrics;
    EventLoop m_controlLoop;
    EventLoop m_trafficLoop;
    AsyncHttpClient m_controlClient;
    Mailbox<TrafficUpdate> m_trafficNews;
    Mailbox<ControlUpdate> m_controlNews;
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
