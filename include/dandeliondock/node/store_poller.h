#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/store/store_hooks.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace dandeliondock {

/// \brief Thread that reads the store's head at a fixed interval; the baseline for comparisons with the relay
/// tree.
///
/// \remark Every method is thread-safe.
class StorePoller
{
public:
    /// \brief Starts the thread.
    /// \param onPolled called from the thread after every successful poll
    /// \pre \c config and \c metrics outlive the poller.
    StorePoller(StoreHooks store, ConfigStore &config, std::function<void()> onPolled, MetricsRegistry &metrics,
                LogSink log);
    ~StorePoller();

    StorePoller(const StorePoller &) = delete;
    StorePoller &operator=(const StorePoller &) = delete;

    void stop();

private:
    void run();
    void pollOnce();

    StoreHooks m_store;
    ConfigStore &m_config;
    std::function<void()> m_onPolled;
    MetricsRegistry &m_metrics;
    LogSink m_log;
    std::mutex m_mutex;
    std::condition_variable m_stopCondition;
    bool m_stopRequested = false;
    std::thread m_thread;
};

} // namespace dandeliondock
