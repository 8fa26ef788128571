// Measures the configuration state for different numbers of services: its memory in bytes, the bytes of its encoded
// snapshot, and the time to apply one revision. Run with: build/bench/bench-state
#include <dandeliondock/codec/config_codec.h>
#include <dandeliondock/config/config_state.h>

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>

DEFINE_uint32(repeats, 20, "revisions applied for each number of services");

namespace {

using namespace dandeliondock;

Ticket serviceTicket(std::uint64_t number, const std::string &name, const std::string &version)
{
    Ticket ticket;
    ticket.number = TicketNumber(number);
    ticket.author = AuthorName("bench");
    Route route;
    route.name = RouteName(name + "-route");
    route.pathPrefix = "/" + name;
    route.service = ServiceName(name);
    Service service;
    service.name = ServiceName(name);
    service.version = VersionName(version);
    service.shedStatus = 503;
    service.healthPath = "/health";
    service.drainHeader = "X-Draining";
    ticket.resources = {Version{ServiceName(name), VersionName(version)}, service, route};
    return ticket;
}

ConfigState makeState(std::size_t services)
{
    ConfigState empty;
    Revision revision{RevisionNumber(1), {}, {}};
    revision.ticket = serviceTicket(1, "service-0", "v1");
    for (std::size_t i = 1; i < services; ++i) {
        const Ticket ticket = serviceTicket(1, "service-" + std::to_string(i), "v1");
        revision.ticket.resources.insert(revision.ticket.resources.end(), ticket.resources.begin(),
                                         ticket.resources.end());
    }
    return empty.apply(revision).value();
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

struct Cost
{
    double memoryBytes = 0;
    double encodedBytes = 0;
    double applyMicroseconds = 0;
};

Cost measure(std::size_t services)
{
    const std::size_t before = heapBytes();
    ConfigState state = makeState(services);
    Cost cost;
    cost.memoryBytes = static_cast<double>(heapBytes() - before);
    cost.encodedBytes = static_cast<double>(encodeState(state).ByteSizeLong());
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < FLAGS_repeats; ++i) {
        Revision next{RevisionNumber(state.revision().value() + 1), serviceTicket(i + 2, "service-0", "v2"), {}};
        state = state.apply(next).value();
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    cost.applyMicroseconds = std::chrono::duration<double, std::micro>(elapsed).count() / FLAGS_repeats;
    return cost;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%-10s %14s %14s %14s\n", "services", "memory_bytes", "encoded_bytes", "apply_us");
    for (const std::size_t services : {100U, 500U, 1'000U, 2'300U, 4'600U}) {
        const Cost cost = measure(services);
        std::printf("%-10zu %14.0f %14.0f %14.1f\n", services, cost.memoryBytes, cost.encodedBytes,
                    cost.applyMicroseconds);
    }
    const wire::Revision delta = encodeRevision({RevisionNumber(9), serviceTicket(9, "service-0", "v2"), {}});
    std::printf("one revision of a service, its version and its route: %zu bytes\n", delta.ByteSizeLong());
    std::printf("repeat with: build/bench/bench-state --repeats=%u\n", FLAGS_repeats);
    return 0;
}
