#include <dandeliondock/node/store_poller.h>

#include <dandeliondock/core/error.h>
#include <dandeliondock/store/config_reader.h>

#include <utility>

namespace dandeliondock {

namespace {

constexpr Milliseconds pollInterval{250};

} // namespace

StorePoller::StorePoller(StoreHooks store, ConfigStore &config, std::function<void()> changed, MetricsRegistry &metrics,
                         LogSink log)
    : m_store(std::move(store)), m_config(config), m_changed(std::move(changed)), m_metrics(metrics),
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
        m_stopping.wait_for(lock, pollInterval, [this] { return m_stopRequested; });
    }
}

void StorePoller::pollOnce()
{
    const absl::StatusOr<RevisionNumber> head = readHeadRevision(m_store);
    const absl::Status status = head.ok() ? catchUpToRevision(m_store, *head, m_config) : head.status();
    if (status.ok()) {
        m_changed();
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
    m_stopping.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace dandeliondock
