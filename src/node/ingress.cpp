#include <dandeliondock/node/ingress.h>

#include "proxied_request.h"

#include <dandeliondock/attempts/connection_reuse.h>

#include <utility>

namespace dandeliondock {

namespace {

// Longer than maxIdleForNonIdempotent: after it, no node sends a non-idempotent request on an idle connection any more.
constexpr Milliseconds quietTime{maxIdleForNonIdempotent + Milliseconds(200)};

void fillDefaults(IngressDependencies &parts)
{
    if (!parts.client)
        parts.client = std::make_shared<HttpClient>();
    if (!parts.budget)
        parts.budget = std::make_shared<RetryBudget>();
    if (!parts.hedging)
        parts.hedging = std::make_shared<HedgeDelayEstimator>();
    if (!parts.metrics)
        parts.metrics = std::make_shared<MetricsRegistry>();
    parts.counters = std::make_shared<const IngressMetrics>(*parts.metrics);
    if (!parts.time.monotonic)
        parts.time = systemTime();
}

} // namespace

Ingress::Ingress(std::shared_ptr<const IngressDependencies> parts, std::unique_ptr<HttpServer> server)
    : m_parts(std::move(parts)), m_server(std::move(server))
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

std::size_t Ingress::exchanges() const
{
    return m_server->activeRequests();
}

bool Ingress::drain(Milliseconds limit)
{
    m_server->startDraining();
    return m_server->waitDrained(quietTime, limit);
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
    m_parts.routing = std::move(hooks);
    return *this;
}

IngressBuilder &IngressBuilder::client(std::shared_ptr<HttpClient> client)
{
    m_parts.client = std::move(client);
    return *this;
}

IngressBuilder &IngressBuilder::budget(std::shared_ptr<RetryBudget> budget)
{
    m_parts.budget = std::move(budget);
    return *this;
}

IngressBuilder &IngressBuilder::attemptReports(std::shared_ptr<BoundedRing<AttemptReport>> ring)
{
    m_parts.attemptReports = std::move(ring);
    return *this;
}

IngressBuilder &IngressBuilder::metrics(std::shared_ptr<MetricsRegistry> metrics)
{
    m_parts.metrics = std::move(metrics);
    return *this;
}

IngressBuilder &IngressBuilder::time(TimeSource time)
{
    m_parts.time = std::move(time);
    return *this;
}

IngressBuilder &IngressBuilder::log(LogSink sink)
{
    m_parts.log = std::move(sink);
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

absl::StatusOr<std::unique_ptr<Ingress>> IngressBuilder::start()
{
    fillDefaults(m_parts);
    auto parts = std::make_shared<const IngressDependencies>(m_parts);
    auto server = HttpServerBuilder()
                          .listen(m_address, m_port)
                          .maxBody(m_maxBody)
                          .maxConnections(m_maxConnections)
                          .streamingHandler([parts](HttpRequest request, const CallerConnection &caller) {
                              return std::make_shared<impl::ProxiedRequest>(parts, std::move(request), caller)->run();
                          })
                          .start();
    if (!server.ok())
        return server.status();
    return std::unique_ptr<Ingress>(new Ingress(std::move(parts), *std::move(server)));
}

} // namespace dandeliondock
