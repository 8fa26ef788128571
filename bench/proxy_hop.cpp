// Measures the processor time per request of a proxy's event loop; the caller, the forwarder, the inbound handler and
// the target share one thread.
// usage: bench-proxy_hop [REQUESTS]
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/forwarder.h>
#include <dandeliondock/proxy/inbound_handler.h>

#include <sys/resource.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace dandeliondock;

constexpr std::size_t concurrency = 8;
const Address targetAddress("127.0.0.1:17601");
const Address callersAddress("127.0.0.1:17602");
const Address proxyInboundAddress("127.0.0.1:17603");

HeaderNames headerNames()
{
    return {"Request-Id", "Time-Budget", "Caller", "Expect", "Not-Run", "Seal"};
}

ProxyConfigPtr config()
{
    std::map<ResourceKey, StampedResource> resources;
    Service service;
    service.name = ServiceName("s");
    service.versionFromTargets = true;
    Route route;
    route.name = RouteName("r");
    route.host = "h";
    route.pathPrefix = "/a/";
    route.service = service.name;
    route.idempotent = true;
    for (const Resource &resource : {Resource(service), Resource(route)})
        resources[keyOf(resource)] = {resource, TicketNumber(1), RevisionNumber(1)};
    auto state = ConfigState::fromSnapshot(RevisionNumber(1), resources);
    return std::make_shared<const ProxyConfig>(std::make_shared<const ConfigState>(*state), ConnectionLimits{});
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + time.tv_usec * 1e-6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

} // namespace

int main(int argc, char **argv)
{
    const std::size_t requestCount = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 20'000;
    EventLoop loop;
    AsyncHttpClient client(loop);
    MetricsRegistry metrics;
    AsyncHttpServer target(loop, [](const HttpRequestContextPtr &activeRequest) {
        HttpResponse response;
        response.headers.add("Request-Id", activeRequest->request().headers.first("Request-Id").value_or(""));
        response.headers.add("Seal", "x");
        response.body = std::string(5'000, 'x');
        activeRequest->respond(std::move(response));
    });
    InboundHandlerDependencies inboundDependencies;
    inboundDependencies.loop = &loop;
    inboundDependencies.client = &client;
    LinkSchedule link{DataRate()};
    inboundDependencies.link = &link;
    inboundDependencies.metrics = &metrics;
    inboundDependencies.headerNames = headerNames();
    inboundDependencies.target = targetAddress;
    inboundDependencies.versions = [](const ServiceName &) -> const ServiceVersions * { return nullptr; };
    InboundHandler inboundHandler(inboundDependencies);
    AsyncHttpServer inboundServer(loop, [&inboundHandler](const HttpRequestContextPtr &activeRequest) {
        auto request = decodeInboundRequest(std::move(activeRequest->request()), activeRequest->arrivedAt());
        const InboundJobPtr job = inboundHandler.handle(*std::move(request), [activeRequest](InboundResult result) {
            activeRequest->respond(encodeInboundResult(std::move(result)));
        });
        activeRequest->onCancelled([&inboundHandler, job] { inboundHandler.cancel(job); });
    });
    ForwarderDependencies forwarderDependencies;
    forwarderDependencies.loop = &loop;
    forwarderDependencies.client = &client;
    forwarderDependencies.inbound = &inboundHandler;
    forwarderDependencies.inboundAddress = Address("127.0.0.1:1");
    forwarderDependencies.metrics = &metrics;
    forwarderDependencies.random = seededRandom(1);
    forwarderDependencies.headerNames = headerNames();
    Forwarder forwarder(forwarderDependencies);
    AsyncHttpServer callers(
            loop, [&forwarder](const HttpRequestContextPtr &activeRequest) { forwarder.handle(activeRequest); });
    if (!target.listen(targetAddress).ok() || !callers.listen(callersAddress).ok()
        || !inboundServer.listen(proxyInboundAddress).ok())
        return 1;
    TargetAnnouncement announcement{TargetId("t"),          Incarnation(1), SequenceNumber(1),
                                    EndpointState::Serving, targetAddress,  ServiceName("s"),
                                    VersionName("v1"),      SlotCount(16),  {}};
    inboundHandler.announce(announcement);
    Endpoint endpoint;
    endpoint.target = announcement.target;
    endpoint.stamp = {Incarnation(1), SequenceNumber(1), EndpointState::Serving};
    endpoint.controlAddress = proxyInboundAddress;
    endpoint.service = ServiceName("s");
    endpoint.version = VersionName("v1");
    endpoint.slots = SlotCount(16);
    forwarder.setConfig(config());
    forwarder.setVersions({ServiceName("s"), VersionName("v1"), std::nullopt});
    forwarder.setEndpoint(endpoint);

    std::size_t sent = 0;
    std::size_t done = 0;
    std::size_t failed = 0;
    AsyncHttpClient caller(loop);
    std::function<void()> sendNext = [&] {
        if (sent++ >= requestCount)
            return;
        HttpRequest request{"GET", "/a/1", {}, {}};
        request.headers.add("Host", "h");
        request.headers.add("Request-Id", std::to_string(sent));
        request.headers.add("Time-Budget", "2000");
        caller.send(callersAddress, request, {EventLoop::now() + Seconds(3)}, [&](const AsyncCallResult &result) {
            failed += result.status.ok() && result.response.status == 200 ? 0 : 1;
            if (++done == requestCount)
                loop.stop();
            sendNext();
        });
    };
    loop.post([&] {
        for (std::size_t index = 0; index < concurrency; ++index)
            sendNext();
    });
    const double before = processorSeconds();
    loop.run();
    const double used = processorSeconds() - before;
    std::cout << requestCount << " requests, " << failed << " failed, "
              << used * 1e6 / static_cast<double>(requestCount)
              << " us of processor time each: caller, forwarder, inbound handler and target together\n";
    return 0;
}
