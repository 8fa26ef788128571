#include <dandeliondock/node/ingress.h>

#include "proxied_request.h"

#include <dandeliondock/attempts/connection_reuse.h>

#include <utility>

namespace dandeliondock {

namespace {

// Idle time after which drain() no longer waits for a connection. It is longer than maxIdleForNonIdempotent, after
// which no node sends a non-idempotent request on an idle connection.
constexpr Milliseconds drainIdleTime{maxIdleForNonIdempotent + Milliseconds(200)};

// A request that is refused while it is received has not reached a target.
constexpr absl::string_view outcomeHeader = "X-Dandeliondock-Outcome";
constexpr absl::string_view notRunOutcome = "not-run";

void fillDefaults(IngressDependencies &dependencies)
{
    if (!dependencies.client)
        dependencies.client = std::make_shared<HttpClient>();
    if (!dependencies.budget)
        dependencies.budget = std::make_shared<RetryBudget>();
    if (!dependencies.hedgeDelays)
        dependencies.hedgeDelays = std::make_shared<HedgeDelayEstimator>();
    if (!dependencies.metrics)
        dependencies.metrics = std::make_shared<MetricsRegistry>();
    dependencies.requestMetrics = std::make_shared<const IngressMetrics>(*dependencies.metrics);
    if (!dependencies.time.monotonic)
        dependencies.time = systemTime();
}

} // namespace

Ingress::Ingress(std::shared_ptr<const IngressDependencies> dependencies, std::unique_ptr<HttpServer> server)
    : m_dependencies(std::move(dependencies)), m_server(std::move(server))
{
}

Ingress::~Ingress()
{
    stop();
}

std::uint16_t Ingress::port() const noexcept
{
    return m_server->port();
}

std::size_t Ingress::activeRequests() const
{
    return m_server->activeRequests();
}

bool Ingress::drain(Milliseconds limit)
{
    m_dependencies->drainEnd->store(m_dependencies->time.monotonic() + limit);
    m_server->startDraining();
    return m_server->waitDrained(drainIdleTime, limit);
}

void Ingress::stop()
{
    m_server->stop();
}

IngressBuilder &IngressBuilder::listen(std::string address, std::uint16_t port)
{
    m_address = std::move(address);
    m_port = port;
    return *this;
}

IngressBuilder &IngressBuilder::routing(RoutingHooks hooks)
{
    m_dependencies.routing = std::move(hooks);
    return *this;
}

IngressBuilder &IngressBuilder::client(std::shared_ptr<HttpClient> client)
{
    m_dependencies.client = std::move(client);
    return *this;
}

IngressBuilder &IngressBuilder::budget(std::shared_ptr<RetryBudget> budget)
{
    m_dependencies.budget = std::move(budget);
    return *this;
}

IngressBuilder &IngressBuilder::attemptReports(std::shared_ptr<BoundedRing<AttemptReport>> ring)
{
    m_dependencies.attemptReports = std::move(ring);
    return *this;
}

IngressBuilder &IngressBuilder::metrics(std::shared_ptr<MetricsRegistry> metrics)
{
    m_dependencies.metrics = std::move(metrics);
    return *this;
}

IngressBuilder &IngressBuilder::time(TimeSource time)
{
    m_dependencies.time = std::move(time);
    return *this;
}

IngressBuilder &IngressBuilder::log(LogSink sink)
{
    m_dependencies.log = std::move(sink);
    return *this;
}

IngressBuilder &IngressBuilder::maxBody(ByteCount limit)
{
    m_maxBody = limit;
    return *this;
}

IngressBuilder &IngressBuilder::maxConnections(ConnectionCount limit)
{
    m_maxConnections = limit;
    return *this;
}

IngressBuilder &IngressBuilder::account(std::shared_ptr<SharedReceiveAccount> account)
{
    m_account = std::move(account);
    return *this;
}

absl::StatusOr<std::unique_ptr<Ingress>> IngressBuilder::start()
{
    fillDefaults(m_dependencies);
    auto dependencies = std::make_shared<const IngressDependencies>(m_dependencies);
    HttpHeaders refusalHeaders;
    refusalHeaders.add(outcomeHeader, notRunOutcome);
    auto server =
            HttpServerBuilder()
                    .listen(m_address, m_port)
                    .maxBody(m_maxBody)
                    .maxConnections(m_maxConnections)
                    .account(m_account)
                    .refusalHeaders(std::move(refusalHeaders))
                    .streamingHandler([dependencies](HttpRequest request, const CallerConnection &caller) {
                        return std::make_shared<impl::ProxiedRequest>(dependencies, std::move(request), caller)->run();
                    })
                    .start();
    if (!server.ok())
        return server.status();
    return std::unique_ptr<Ingress>(new Ingress(std::move(dependencies), *std::move(server)));
}

} // namespace dandeliondock
