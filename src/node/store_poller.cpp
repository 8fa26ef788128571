#include <dandeliondock/node/store_poller.h>

#include <dandeliondock/core/error.h>
#include <dandeliondock/store/config_reader.h>

#include <utility>

namespace dandeliondock {

namespace {

constexpr Milliseconds pollInterval{250};

} // namespace

StorePoller::StorePoller(StoreHooks store, ConfigStore &config, std::function<void()> onPolled,
                         MetricsRegistry &metrics, LogSink log)
    : m_store(std::move(store)), m_config(config), m_onPolled(std::move(onPolled)), m_metrics(metrics),
      m_log(std::move(log))
{
    m_thread = std::thread([this] { run(); });
}

StorePoller::~StorePoller()
{
    stop();
}

void StorePoller::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopRequested) {
        lock.unlock();
        pollOnce();
        lock.lock();
        m_stopCondition.wait_for(lock, pollInterval, [this] { return m_stopRequested; });
    }
}

void StorePoller::pollOnce()
{
    const absl::StatusOr<RevisionNumber> head = readHeadRevision(m_store);
    const absl::Status status = head.ok() ? catchUpToRevision(m_store, *head, m_config) : head.status();
    if (status.ok()) {
        m_onPolled();
        return;
    }
    m_metrics.counter("dandeliondock_store_errors_total", errorKindName(errorKind(status))).add();
    LogEvent(LogLevel::Warn, "store.poll_failed").error(status).write(m_log);
}

void StorePoller::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopRequested = true;
    }
    m_stopCondition.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace dandeliondock
