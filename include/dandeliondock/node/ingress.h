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

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace dandeliondock {

/// \brief Dependencies of the request path, shared with the rest of the node.
struct IngressDependencies
{
    RoutingHooks routing;
    std::shared_ptr<HttpClient> client;
    std::shared_ptr<RetryBudget> budget;
    std::shared_ptr<HedgeDelayEstimator> hedgeDelays;
    /// Uses OverflowPolicy::DropOldest, so that no request blocks on it.
    std::shared_ptr<BoundedRing<AttemptReport>> attemptReports;
    std::shared_ptr<MetricsRegistry> metrics;
    std::shared_ptr<const IngressMetrics> requestMetrics; ///< registered in \c metrics
    TimeSource time;
    LogSink log;
    /// Time at which a drain ends; requests with a later deadline are refused.
    std::shared_ptr<std::atomic<MonotonicTime>> drainEnd =
            std::make_shared<std::atomic<MonotonicTime>>(MonotonicTime::max());
};

/// \brief Listener for callers. The thread of each caller connection handles its requests from arrival to response.
///
/// \remark Every method is thread-safe.
class Ingress
{
public:
    ~Ingress();

    Ingress(const Ingress &) = delete;
    Ingress &operator=(const Ingress &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept;

    /// \brief Returns the number of requests in progress, streamed responses included.
    [[nodiscard]] std::size_t activeRequests() const;

    /// \brief Stops accepting connections and waits until every request in progress has its response.
    ///
    /// \remark Open connections are served until they close or have carried no request for 1.2 s, so that a caller that
    /// still uses one gets its response. Requests whose deadline is later than the end of \c limit are refused.
    /// \return False when a request was still in progress after \c limit.
    [[nodiscard]] bool drain(Milliseconds limit);

    /// \brief Closes every connection. Requests in progress are aborted unless drain() was called before.
    void stop();

private:
    friend class IngressBuilder;
    Ingress(std::shared_ptr<const IngressDependencies> dependencies, std::unique_ptr<HttpServer> server);

    std::shared_ptr<const IngressDependencies> m_dependencies;
    std::unique_ptr<HttpServer> m_server;
};

/// \brief Builder of the callers' listener. Must be used by one thread at a time.
class IngressBuilder
{
public:
    /// \brief Sets the IP address and port to listen on; port 0 selects a free port.
    IngressBuilder &listen(std::string address, std::uint16_t port);

    IngressBuilder &routing(RoutingHooks hooks);
    IngressBuilder &client(std::shared_ptr<HttpClient> client);
    IngressBuilder &budget(std::shared_ptr<RetryBudget> budget);
    IngressBuilder &attemptReports(std::shared_ptr<BoundedRing<AttemptReport>> ring);
    IngressBuilder &metrics(std::shared_ptr<MetricsRegistry> metrics);
    IngressBuilder &time(TimeSource time);
    IngressBuilder &log(LogSink sink);

    /// \brief Sets the largest request body; a larger one is rejected with status 413.
    IngressBuilder &maxBody(ByteCount limit);

    IngressBuilder &maxConnections(ConnectionCount limit);

    /// \brief Sets the account that bounds what connections hold; without one, nothing bounds them together.
    IngressBuilder &account(std::shared_ptr<SharedReceiveAccount> account);

    /// \brief Opens the listener; returns an error when the address cannot be bound.
    /// \pre listen(), routing() and attemptReports() were called.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<Ingress>> start();

private:
    IngressDependencies m_dependencies;
    std::string m_address;
    std::uint16_t m_port = 0;
    ByteCount m_maxBody{8U << 20U};
    ConnectionCount m_maxConnections{1'024};
    std::shared_ptr<SharedReceiveAccount> m_account;
};

} // namespace dandeliondock
