#pragma once

#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/routing/routing_hooks.h>

#include <functional>
#include <memory>
#include <thread>

namespace dandeliondock {

/// \brief Who wants to hear of finished attempts. Hooks are called from the dispatcher's thread.
struct OutcomeConsumers
{
    std::function<void(const AttemptReport &)> rollouts;
    std::function<void(const AttemptReport &)> onLocalAttempt; ///< only of attempts on \c localTargetId; may be null
    TargetId localTargetId;                                    ///< the target beside this node; empty without one
};

/// \brief The thread that takes finished attempts from the request path's ring.
///
/// \remark Every method is thread-safe.
class OutcomeDispatcher
{
public:
    /// \pre \c metrics outlives the dispatcher.
    OutcomeDispatcher(std::shared_ptr<BoundedRing<AttemptReport>> ring, OutcomeConsumers consumers,
                      MetricsRegistry &metrics);
    ~OutcomeDispatcher();

    OutcomeDispatcher(const OutcomeDispatcher &) = delete;
    OutcomeDispatcher &operator=(const OutcomeDispatcher &) = delete;

    /// \brief Closes the ring and ends the thread once what it holds is taken.
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
