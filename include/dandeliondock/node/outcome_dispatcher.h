#pragma once

#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/routing/routing_hooks.h>

#include <functional>
#include <memory>
#include <thread>

namespace dandeliondock {

/// \brief Receivers of finished attempts. Hooks are called from the dispatcher's thread.
struct OutcomeConsumers
{
    std::function<void(const AttemptReport &)> onAttempt;
    std::function<void(const AttemptReport &)> onLocalAttempt; ///< called for attempts on \c localTargetId; may be null
    TargetId localTargetId;                                    ///< the local target; empty when there is none
};

/// \brief Thread that passes finished attempts from the request path's ring to their consumers.
///
/// \remark Every method is thread-safe.
class OutcomeDispatcher
{
public:
    /// \brief Starts the thread.
    /// \pre \c metrics outlives the dispatcher.
    OutcomeDispatcher(std::shared_ptr<BoundedRing<AttemptReport>> ring, OutcomeConsumers consumers,
                      MetricsRegistry &metrics);
    ~OutcomeDispatcher();

    OutcomeDispatcher(const OutcomeDispatcher &) = delete;
    OutcomeDispatcher &operator=(const OutcomeDispatcher &) = delete;

    /// \brief Closes the ring and waits until the thread has dispatched the remaining attempts.
    void stop();

private:
    void run();
    void dispatch(const AttemptReport &report);

    std::shared_ptr<BoundedRing<AttemptReport>> m_ring;
    OutcomeConsumers m_consumers;
    MetricsRegistry &m_metrics;
    std::thread m_thread;
};

} // namespace dandeliondock
