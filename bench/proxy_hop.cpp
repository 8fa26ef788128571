// Processor time of a proxy's event loop for each request: callers, door and target on one thread.
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
const Address doorAddress("127.0.0.1:17603");

HeaderNames protocol()
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
    const std::size_t wanted = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 20'000;
    EventLoop loop;
    AsyncHttpClient client(loop);
    MetricsRegistry metrics;
    AsyncHttpServer target(loop, [](const HttpRequestContextPtr &exchange) {
        HttpResponse response;
        response.headers.add("Request-Id", exchange->request().headers.first("Request-Id").value_or(""));
        response.headers.add("Seal", "x");
        response.body = std::string(5'000, 'x');
        exchange->respond(std::move(response));
    });
    InboundHandlerDependencies doorParts;
    doorParts.loop = &loop;
    doorParts.client = &client;
    doorParts.metrics = &metrics;
    doorParts.protocol = protocol();
    doorParts.target = targetAddress;
    doorParts.versions = [](const ServiceName &) -> const ServiceVersions * { return nullptr; };
    InboundHandler door(doorParts);
    AsyncHttpServer doorServer(loop, [&door](const HttpRequestContextPtr &exchange) {
        auto request = decodeInboundRequest(std::move(exchange->request()), exchange->arrivedAt());
        const InboundJobPtr job = door.handle(*std::move(request), [exchange](InboundResult reply) {
            exchange->respond(encodeInboundResult(std::move(reply)));
        });
        exchange->onCancelled([&door, job] { door.cancel(job); });
    });
    ForwarderDependencies parts;
    parts.loop = &loop;
    parts.client = &client;
    parts.inbound = &door;
    parts.inboundAddress = Address("127.0.0.1:1");
    parts.metrics = &metrics;
    parts.random = seededRandom(1);
    parts.protocol = protocol();
    Forwarder forwarder(parts);
    AsyncHttpServer callers(loop, [&forwarder](const HttpRequestContextPtr &exchange) { forwarder.handle(exchange); });
    if (!target.listen(targetAddress).ok() || !callers.listen(callersAddress).ok()
        || !doorServer.listen(doorAddress).ok())
        return 1;
    TargetAnnouncement announcement{TargetId("t"),          Incarnation(1), SequenceNumber(1),
                                    EndpointState::Serving, targetAddress,  ServiceName("s"),
                                    VersionName("v1"),      SlotCount(16),  {}};
    door.announce(announcement);
    Endpoint endpoint;
    endpoint.target = announcement.target;
    endpoint.stamp = {Incarnation(1), SequenceNumber(1), EndpointState::Serving};
    endpoint.controlAddress = doorAddress;
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
    std::function<void()> next = [&] {
        if (sent++ >= wanted)
            return;
        HttpRequest request{"GET", "/a/1", {}, {}};
        request.headers.add("Host", "h");
        request.headers.add("Request-Id", std::to_string(sent));
        request.headers.add("Time-Budget", "2000");
        caller.send(callersAddress, request, {EventLoop::now() + Seconds(3)}, [&](const AsyncCallResult &result) {
            failed += result.status.ok() && result.response.status == 200 ? 0 : 1;
            if (++done == wanted)
                loop.stop();
            next();
        });
    };
    loop.post([&] {
        for (std::size_t index = 0; index < concurrency; ++index)
            next();
    });
    const double before = processorSeconds();
    loop.run();
    const double used = processorSeconds() - before;
    std::cout << wanted << " requests, " << failed << " failed, " << used * 1e6 / static_cast<double>(wanted)
              << " us of processor time each: caller, forwarder, door and target together\n";
    return 0;
}
