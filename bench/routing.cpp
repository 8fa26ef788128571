// Measures how the time of a selection and the memory of an endpoint grow with the number of services.
#include <dandeliondock/routing/router.h>

#include <support/routing_fixture.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <memory>
#include <string>

namespace dandeliondock {
namespace {

constexpr unsigned targetsPerService = 11;

ServiceName serviceName(unsigned number)
{
    return ServiceName("service-" + std::to_string(number));
}

ConfigStatePtr makeState(unsigned services)
{
    Ticket ticket;
    ticket.number = TicketNumber(1);
    ticket.author = AuthorName("ada");
    for (unsigned number = 0; number < services; ++number) {
        Service service;
        service.name = serviceName(number);
        service.version = VersionName("v1");
        Route route = tests::routeOf("route-" + std::to_string(number), "/api/" + service.name.value());
        route.service = service.name;
        ticket.resources.emplace_back(Version{service.name, service.version});
        ticket.resources.emplace_back(service);
        ticket.resources.emplace_back(route);
    }
    auto state = ConfigState().apply({RevisionNumber(1), ticket, WallTime{}});
    return std::make_shared<const ConfigState>(*std::move(state));
}

std::vector<Endpoint> makeTargets(unsigned services)
{
    std::vector<Endpoint> records;
    for (unsigned number = 0; number < services * targetsPerService; ++number) {
        Endpoint record = tests::servingTarget(number, "v1", number % 2 == 0 ? "a" : "b");
        record.service = serviceName(number / targetsPerService);
        records.push_back(record);
    }
    return records;
}

struct Setup
{
    explicit Setup(unsigned count) : services(count)
    {
        RouterHooks hooks;
        hooks.time = systemTime();
        hooks.random = [] { return systemRandom(); };
        router = Router::create(tests::callerInA(), hooks, metrics);
        router->applyConfig(makeState(services));
        const std::vector<Endpoint> records = makeTargets(services);
        const std::size_t before = mallinfo2().uordblks;
        router->applyEndpoints(records);
        for (unsigned number = 0; number < services; ++number)
            selectOnce(number);
        bytesPerEndpoint = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(records.size());
    }

    void selectOnce(unsigned number)
    {
        const auto match = router->match("mill.example:80", "/api/" + serviceName(number).value() + "/7?full=1");
        router->recordParentContact();
        const auto session = router->select({*match, {}, {}, systemTime().monotonic() + Seconds(1)});
        (*session)->finish(tests::attemptOutcome());
    }

    unsigned services;
    MetricsRegistry metrics;
    std::shared_ptr<Router> router;
    double bytesPerEndpoint = 0;
};

std::unique_ptr<Setup> &sharedSetup()
{
    static std::unique_ptr<Setup> setup;
    return setup;
}

void prepare(const benchmark::State &state)
{
    sharedSetup() = std::make_unique<Setup>(static_cast<unsigned>(state.range(0)));
}

void cleanUp(const benchmark::State &)
{
    sharedSetup().reset();
}

void matchSelectFinish(benchmark::State &state)
{
    Setup &setup = *sharedSetup();
    auto number = static_cast<unsigned>(state.thread_index());
    for (auto _ : state) {
        setup.selectOnce(number % setup.services);
        ++number;
    }
    state.counters["bytes_per_endpoint"] = benchmark::Counter(setup.bytesPerEndpoint, benchmark::Counter::kAvgThreads);
}

void matchOnly(benchmark::State &state)
{
    Setup &setup = *sharedSetup();
    for (auto _ : state)
        benchmark::DoNotOptimize(setup.router->match("mill.example:80", "/api/service-0/7?full=1"));
}

BENCHMARK(matchOnly)->Arg(1)->Arg(2'300)->Threads(1)->Threads(8)->Setup(prepare)->Teardown(cleanUp)->UseRealTime();
BENCHMARK(matchSelectFinish)
        ->Arg(1)
        ->Arg(230)
        ->Arg(2'300)
        ->Threads(1)
        ->Threads(8)
        ->Setup(prepare)
        ->Teardown(cleanUp)
        ->UseRealTime();

} // namespace
} // namespace dandeliondock

BENCHMARK_MAIN();
