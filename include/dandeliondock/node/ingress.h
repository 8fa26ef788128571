#pragma once

#include <dandeliondock/attempts/hedge_delay_estimator.h>
#include <dandeliondock/attempts/retry_budget.h>
#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/http/server.h>
#include <dandeliondock/node/ingress_metrics.h>
#include <dandeliondock/routing/routing_hooks.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

namespace dandeliondock {

/// \brief What the request path works with; shared with the rest of the node.
struct IngressDependencies
{
    RoutingHooks routing;
    std::shared_ptr<HttpClient> client;
    std::shared_ptr<RetryBudget> budget;
    std::shared_ptr<HedgeDelayEstimator> hedging;
    std::shared_ptr<BoundedRing<AttemptReport>>
            attemptReports; ///< OverflowPolicy::DropOldest, so that no request waits for it
    std::shared_ptr<MetricsRegistry> metrics;
    std::shared_ptr<const IngressMetrics> counters; ///< of \c metrics
    TimeSource time;
    LogSink log;
};

/// \brief The callers' listener. The thread of a caller's connection does its requests from end to end.
///
/// \remark Every method is thread-safe.
class Ingress
{
public:
    ~Ingress();

    Ingress(const Ingress &) = delete;
    Ingress &operator=(const Ingress &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept;

    /// \brief Number of requests in progress, streamed answers included.
    [[nodiscard]] std::size_t exchanges() const;

    /// \brief Stops accepting connections and waits until every request in progress has its answer.
    ///
    /// \remark Open connections are served until they close or were quiet for 1.2 s, so that a caller which still uses
    /// one is answered.
    /// \return False when \c limit ran out with a request in progress.
    [[nodiscard]] bool drain(Milliseconds limit);

    /// \brief Closes every connection. Call drain() before, or requests in progress are cut.
    void stop();

private:
    friend class IngressBuilder;
    Ingress(std::shared_ptr<const IngressDependencies> parts, std::unique_ptr<HttpServer> server);

    std::shared_ptr<const IngressDependencies> m_parts;
    std::unique_ptr<HttpServer> m_server;
};

/// \brief Builder of the callers' listener. One thread at a time.
class IngressBuilder
{
public:
    /// \brief IP number and port; port 0 takes a free one.
    IngressBuilder &listen(std::string address, std::uint16_t port);

    IngressBuilder &routing(RoutingHooks hooks);
    IngressBuilder &client(std::shared_ptr<HttpClient> client);
    IngressBuilder &budget(std::shared_ptr<RetryBudget> budget);
    IngressBuilder &attemptReports(std::shared_ptr<BoundedRing<AttemptReport>> ring);
    IngressBuilder &metrics(std::shared_ptr<MetricsRegistry> metrics);
    IngressBuilder &time(TimeSource time);
    IngressBuilder &log(LogSink sink);

    /// \brief Longest body of a request; longer ones are answered 413.
    IngressBuilder &maxBody(ByteCount limit);

    IngressBuilder &maxConnections(ConnectionCount limit);

    /// \pre listen(), routing() and attemptReports() were called.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<Ingress>> start();

private:
    IngressDependencies m_parts;
    std::string m_address;
    std::uint16_t m_port = 0;
    ByteCount m_maxBody{8U << 20U};
    ConnectionCount m_maxConnections{1'024};
};

} // namespace dandeliondock
