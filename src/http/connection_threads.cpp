#include "connection_threads.h"

#include <utility>

namespace dandeliondock::impl {

namespace {

constexpr std::size_t stackBytes = std::size_t{256} * 1024;

} // namespace

bool ConnectionThreads::start(std::function<void()> work)
{
    joinEnded();
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stackBytes);
    const std::scoped_lock lock(m_mutex);
    m_workers.push_back({this, std::move(work)});
    Worker &worker = m_workers.back();
    const bool isStarted = pthread_create(&worker.thread, &attributes, &ConnectionThreads::run, &worker) == 0;
    if (isStarted)
        ++m_running;
    else
        m_workers.pop_back();
    pthread_attr_destroy(&attributes);
    return isStarted;
}

void *ConnectionThreads::run(void *worker)
{
    auto *self = static_cast<Worker *>(worker);
    self->work();
    self->work = {};
    ConnectionThreads &owner = *self->owner;
    const std::scoped_lock lock(owner.m_mutex);
    self->hasEnded = true;
    --owner.m_running;
    owner.m_changed.notify_all();
    return nullptr;
}

void ConnectionThreads::waitBelow(std::size_t limit)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this, limit] { return m_isStopped || m_running < limit; });
}

void ConnectionThreads::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_isStopped = true;
    m_changed.notify_all();
}

bool ConnectionThreads::isStopped() const
{
    const std::scoped_lock lock(m_mutex);
    return m_isStopped;
}

void ConnectionThreads::joinEnded()
{
    std::list<Worker> ended;
    {
        const std::scoped_lock lock(m_mutex);
        for (auto worker = m_workers.begin(); worker != m_workers.end();) {
            const auto next = std::next(worker);
            if (worker->hasEnded)
                ended.splice(ended.end(), m_workers, worker);
            worker = next;
        }
    }
    for (const Worker &worker : ended)
        pthread_join(worker.thread, nullptr);
}

void ConnectionThreads::joinAll()
{
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_running == 0; });
    }
    joinEnded();
}

} // namespace dandeliondock::impl
