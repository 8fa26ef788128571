// Measures operations of the endpoint directory for different numbers of endpoints. A benchmark "...ByCopy" computes
// the same result from a copy of all records, to compare both in one run. Run with: build/bench/bench-membership
#include <dandeliondock/codec/control_codec.h>
#include <dandeliondock/membership/endpoint_directory.h>

#include <support/routing_fixture.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <algorithm>
#include <string>

namespace dandeliondock {
namespace {

constexpr unsigned targetsPerService = 11;

Endpoint makeRecord(unsigned number)
{
    Endpoint record = tests::servingTarget(number, "v1", number % 2 == 0 ? "a" : "b");
    record.service = ServiceName("service-" + std::to_string(number / targetsPerService));
    record.controlAddress = Address("127.0.0.1:" + std::to_string(40'000 + number));
    return record;
}

EndpointDirectory makeDirectory(unsigned endpoints)
{
    EndpointDirectory directory(RegionName("east"));
    for (unsigned number = 0; number < endpoints; ++number)
        directory.merge(makeRecord(number), MonotonicTime{});
    return directory;
}

unsigned endpointCount(const benchmark::State &state)
{
    return static_cast<unsigned>(state.range(0));
}

void merge(benchmark::State &state)
{
    EndpointDirectory directory = makeDirectory(endpointCount(state));
    Endpoint record = makeRecord(endpointCount(state) / 2);
    for (auto step : state) {
        record.stamp.sequence = SequenceNumber(record.stamp.sequence.value() + 1);
        benchmark::DoNotOptimize(directory.merge(record, MonotonicTime{}));
    }
}

void changes(benchmark::State &state)
{
    EndpointDirectory directory = makeDirectory(endpointCount(state));
    const DirectoryVersion knownVersion(directory.version().value() - 1);
    for (auto step : state)
        benchmark::DoNotOptimize(directory.changesSince(knownVersion));
}

void digest(benchmark::State &state)
{
    const EndpointDirectory directory = makeDirectory(endpointCount(state));
    for (auto step : state)
        benchmark::DoNotOptimize(directory.digest());
}

void expire(benchmark::State &state)
{
    EndpointDirectory directory = makeDirectory(endpointCount(state));
    for (auto step : state)
        benchmark::DoNotOptimize(directory.expire(MonotonicTime{}));
}

void controlAddresses(benchmark::State &state)
{
    const EndpointDirectory directory = makeDirectory(endpointCount(state));
    std::uint64_t start = 0;
    for (auto step : state)
        benchmark::DoNotOptimize(directory.sampleControlAddresses(32, start += 0x9e3779b97f4a7c15U));
}

void controlAddressesByCopy(benchmark::State &state)
{
    const EndpointDirectory directory = makeDirectory(endpointCount(state));
    for (auto step : state) {
        std::vector<Address> addresses;
        for (const Endpoint &record : directory.all())
            addresses.push_back(record.controlAddress);
        benchmark::DoNotOptimize(addresses);
    }
}

void serving(benchmark::State &state)
{
    const EndpointDirectory directory = makeDirectory(endpointCount(state));
    const Endpoint wanted = makeRecord(0);
    for (auto step : state)
        benchmark::DoNotOptimize(directory.servingCount(wanted.service, wanted.version));
}

void servingByCopy(benchmark::State &state)
{
    const EndpointDirectory directory = makeDirectory(endpointCount(state));
    const Endpoint wanted = makeRecord(0);
    for (auto step : state) {
        const std::vector<Endpoint> records = directory.all();
        benchmark::DoNotOptimize(std::count_if(records.begin(), records.end(), [&](const Endpoint &record) {
            return record.service == wanted.service && record.version == wanted.version;
        }));
    }
}

void lookUp(benchmark::State &state)
{
    const EndpointDirectory directory = makeDirectory(endpointCount(state));
    const Address wanted = makeRecord(endpointCount(state) / 2).controlAddress;
    for (auto step : state)
        benchmark::DoNotOptimize(directory.findByControlAddress(wanted));
}

void lookUpByCopy(benchmark::State &state)
{
    const EndpointDirectory directory = makeDirectory(endpointCount(state));
    const Address wanted = makeRecord(endpointCount(state) / 2).controlAddress;
    for (auto step : state) {
        const std::vector<Endpoint> records = directory.all();
        benchmark::DoNotOptimize(std::find_if(records.begin(), records.end(),
                                              [&](const Endpoint &record) { return record.controlAddress == wanted; }));
    }
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// The memory per endpoint is the difference in bytes between two sizes, divided by the difference in endpoints.
void memory(benchmark::State &state)
{
    double bytes = 0;
    for (auto step : state) {
        const std::size_t before = heapBytes();
        const EndpointDirectory directory = makeDirectory(endpointCount(state));
        bytes = static_cast<double>(heapBytes() - before);
    }
    state.counters["bytes"] = bytes;
    state.counters["bytes_per_endpoint"] = bytes / endpointCount(state);
}

} // namespace

#define MEMBERSHIP_BENCHMARK(name) BENCHMARK(name)->Arg(100)->Arg(1'000)->Arg(3'600)

MEMBERSHIP_BENCHMARK(merge);
MEMBERSHIP_BENCHMARK(changes);
MEMBERSHIP_BENCHMARK(digest);
MEMBERSHIP_BENCHMARK(expire);
MEMBERSHIP_BENCHMARK(controlAddresses);
MEMBERSHIP_BENCHMARK(controlAddressesByCopy);
MEMBERSHIP_BENCHMARK(serving);
MEMBERSHIP_BENCHMARK(servingByCopy);
MEMBERSHIP_BENCHMARK(lookUp);
MEMBERSHIP_BENCHMARK(lookUpByCopy);
MEMBERSHIP_BENCHMARK(memory)->Iterations(1);

} // namespace dandeliondock

BENCHMARK_MAIN();
