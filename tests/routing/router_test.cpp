#include <dandeliondock/core/error.h>
#include <dandeliondock/membership/endpoint_directory.h>
#include <dandeliondock/routing/router.h>

#include <support/routing_fixture.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <future>
#include <set>
#include <thread>

namespace dandeliondock {

using tests::answered;
using tests::ledgerState;
using tests::outcomeOf;
using tests::routeOf;
using tests::servingTarget;

namespace {

// A router with a clock that the test sets, and a target that answers probes as the test says.
struct RouterRun
{
    MetricsRegistry metrics;
    std::atomic<MonotonicTime> now{MonotonicTime(Seconds(1'000))};
    std::atomic<Share> newShare{noShare};
    std::set<TargetId> leaving; ///< targets that drain, whatever is announced of them
    int probes = 0;
    std::shared_ptr<Router> router;

    explicit RouterRun(bool withRollout = false)
    {
        RouterHooks hooks;
        hooks.time.monotonic = [this] { return now.load(); };
        hooks.random = [] { return seededRandom(7); };
        hooks.probe = [this](const Endpoint &endpoint) { return probe(endpoint); };
        if (withRollout) {
            hooks.split = [this](const Service &) {
                return VersionSplit{TicketNumber(1), VersionName("v1"), VersionName("v2"), newShare.load(), fullShare};
            };
        }
        router = Router::create(tests::callerInA(), hooks, metrics);
        router->applyConfig(ledgerState({routeOf("orders", "/orders", {}, WorkClass::Critical),
                                         routeOf("documents", "/documents", {}, WorkClass::Deferrable)},
                                        withRollout));
        router->recordParentContact();
    }

    ProbeResult probe(const Endpoint &endpoint)
    {
        ++probes;
        return leaving.count(endpoint.target) > 0 ? ProbeResult::Draining : ProbeResult::TakesWork;
    }

    absl::StatusOr<std::shared_ptr<TargetSession>> select(const std::string &path = "/orders",
                                                          Milliseconds timeout = Milliseconds(1'000))
    {
        SelectionRequest request;
        request.match = *router->match("", path);
        request.deadline = now.load() + timeout;
        return router->select(request);
    }

    std::uint64_t refusals(const std::string &reason)
    {
        return metrics.counter("dandeliondock_routing_refusals_total", reason).value();
    }
};

} // namespace

// Guards against work sent to a target after its leaving announcement arrived.
TEST_CASE("a leaving target gets no selection after its announcement merges", "[routing]")
{
    rc::prop("selections follow the directory, whatever the order of records", [] {
        RouterRun run;
        EndpointDirectory directory(RegionName("east"));
        const auto steps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, int>>>(
                rc::gen::tuple(rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 4U), rc::gen::inRange(0, 4)));
        for (const auto &[number, sequence, state] : steps) {
            Endpoint record = servingTarget(number);
            record.stamp = {Incarnation(1), SequenceNumber(sequence), static_cast<EndpointState>(state)};
            const DirectoryVersion before = directory.version();
            directory.merge(record, run.now);
            run.router->applyEndpoints(directory.changesSince(before));
            const auto session = run.select();
            if (session.ok())
                RC_ASSERT(directory.find((*session)->endpoint().target)->stamp.state == EndpointState::Serving);
            else
                RC_ASSERT(errorKind(session.status()) == ErrorKind::NoTarget);
        }
    });
}

// Guards against work sent to a leaving target whose announcement was lost.
TEST_CASE("a leaving target gets no selection once the view is stale", "[routing]")
{
    rc::prop("three seconds after the last contact every selection takes work", [] {
        RouterRun run;
        const auto count = *rc::gen::inRange(1U, 6U);
        for (unsigned number = 0; number < count; ++number)
            run.router->applyEndpoints({servingTarget(number)});
        for (unsigned number = 0; number < count; ++number) {
            if (*rc::gen::arbitrary<bool>())
                run.leaving.insert(servingTarget(number).target);
        }
        run.now = run.now.load() + viewLife;
        for (int request = 0; request < 50; ++request) {
            const auto session = run.select();
            if (session.ok())
                RC_ASSERT(run.leaving.count((*session)->endpoint().target) == 0U);
            else
                RC_ASSERT(run.leaving.size() == count);
        }
        RC_ASSERT(run.probes <= static_cast<int>(count));
        run.now = run.now.load() + verificationTtl;
        const int before = run.probes;
        RC_ASSERT(run.select().ok() == (run.leaving.size() < count));
        RC_ASSERT(run.probes == before + (run.leaving.size() < count ? 1 : 0));
    });
}

// Guards against a refusal while one target of many still takes work and the announcements of the others were lost.
TEST_CASE("with a stale view the one target that takes work is found", "[routing]")
{
    for (unsigned count = 1; count <= 12; ++count) {
        RouterRun run;
        for (unsigned number = 0; number < count; ++number) {
            run.router->applyEndpoints({servingTarget(number)});
            if (number != 0)
                run.leaving.insert(servingTarget(number).target);
        }
        run.now = run.now.load() + viewLife;
        const auto session = run.select();
        REQUIRE(session.ok());
        CHECK((*session)->endpoint().target == servingTarget(0).target);
    }
}

// Guards against further work for a target that marked its answer as draining.
TEST_CASE("a drain mark on an answer ends selections at once", "[routing]")
{
    RouterRun run;
    run.router->applyEndpoints({servingTarget(0), servingTarget(1)});
    AttemptOutcome outcome = answered();
    outcome.draining = true;
    const auto first = *run.select();
    const TargetId drained = first->endpoint().target;
    first->finish(outcome);
    for (int request = 0; request < 50; ++request)
        CHECK((*run.select())->endpoint().target != drained);
}

// Guards against requests of a version that was rolled back or has no share.
TEST_CASE("no selection leaves the split", "[routing]")
{
    RouterRun run(true);
    run.router->applyEndpoints({servingTarget(0, "v1"), servingTarget(1, "v2"), servingTarget(2, "v3")});
    for (int request = 0; request < 200; ++request)
        CHECK((*run.select())->endpoint().version.value() == "v1");
    run.newShare = fullShare;
    for (int request = 0; request < 200; ++request) {
        const auto session = *run.select();
        CHECK(session->endpoint().version.value() == "v2");
        CHECK(session->isNewVersion());
    }
}

// Guards against refusals that carry the wrong kind or are not counted.
TEST_CASE("each refusal has its kind and its counter", "[routing]")
{
    RouterRun run;
    CHECK(errorKind(run.router->match("", "/absent").status()) == ErrorKind::NotFound);
    CHECK(errorKind(run.select().status()) == ErrorKind::NoTarget);
    run.router->applyEndpoints({servingTarget(0)});
    CHECK(errorKind(run.select("/orders", Milliseconds(0)).status()) == ErrorKind::DeadlineExceeded);
    run.router->setReady(false);
    CHECK(errorKind(run.router->match("", "/orders").status()) == ErrorKind::NotReady);
    CHECK(run.refusals("no_route") == 1);
    CHECK(run.refusals("no_target") == 1);
    CHECK(run.refusals("deadline_unmeetable") == 1);
    CHECK(run.refusals("not_ready") == 1);
}

// Guards against a request that is the first to run after a pause and routes before the pause is noticed.
TEST_CASE("a router that was not told for long that the process runs refuses", "[routing]")
{
    RouterRun run;
    run.router->recordHeartbeat();
    CHECK(run.router->match("", "/orders").ok());
    run.now = run.now.load() + pauseThreshold + Milliseconds(1);
    CHECK(errorKind(run.router->match("", "/orders").status()) == ErrorKind::NotReady);
    run.router->recordHeartbeat();
    CHECK(run.router->match("", "/orders").ok());
}

// Guards against claims that are never given back and fill a target's limit for ever.
TEST_CASE("a session that is dropped or finished twice gives its claim back once", "[routing]")
{
    RouterRun run;
    run.router->applyEndpoints({servingTarget(0)});
    for (int round = 0; round < 100; ++round) {
        std::vector<std::shared_ptr<TargetSession>> sessions;
        for (int request = 0; request < 20; ++request)
            sessions.push_back(*run.select());
        sessions.front()->finish(answered());
        sessions.front()->finish(answered());
    }
    CHECK(run.select("/orders", Milliseconds(1)).ok());
}

namespace {

struct BusyRouter
{
    MetricsRegistry metrics;
    std::shared_ptr<Router> router;
    std::shared_ptr<TargetSession> held;

    BusyRouter()
    {
        RouterHooks hooks;
        hooks.time = systemTime();
        hooks.random = [] { return seededRandom(7); };
        router = Router::create(tests::callerInA(), hooks, metrics);
        router->applyConfig(ledgerState({routeOf("orders", "/orders", {}, WorkClass::Critical),
                                         routeOf("documents", "/documents", {}, WorkClass::Deferrable)}));
        router->recordParentContact();
        Endpoint target = servingTarget(0);
        target.slots = SlotCount(1);
        router->applyEndpoints({target});
        held = *select("/orders", Seconds(30));
    }

    absl::StatusOr<std::shared_ptr<TargetSession>> select(const std::string &path, Milliseconds timeout)
    {
        router->recordParentContact();
        SelectionRequest request;
        request.match = *router->match("", path);
        request.deadline = systemTime().monotonic() + timeout;
        return router->select(request);
    }

    void waitUntilQueued(std::uint64_t count)
    {
        while (metrics.counter("dandeliondock_routing_queued_total").value() < count)
            std::this_thread::sleep_for(Milliseconds(1));
    }
};

} // namespace

// Guards against documents that are served before orders when a slot is free again.
TEST_CASE("a freed slot goes to critical work that came later", "[routing]")
{
    BusyRouter busy;
    std::vector<std::string> served;
    std::mutex mutex;
    const auto serve = [&](const std::string &path) {
        const auto session = busy.select(path, Seconds(30));
        const std::scoped_lock lock(mutex);
        served.push_back(session.ok() ? path : "refused");
        if (session.ok())
            (*session)->finish(answered());
    };
    auto documents = std::async(std::launch::async, serve, "/documents");
    busy.waitUntilQueued(1);
    auto orders = std::async(std::launch::async, serve, "/orders");
    busy.waitUntilQueued(2);
    busy.held->finish(answered());
    orders.get();
    documents.get();
    CHECK(served == std::vector<std::string>{"/orders", "/documents"});
}

// Guards against a request that waited through a rollback and then reaches the version that was rolled back.
TEST_CASE("a claim for a version that was rolled back meanwhile is given up", "[routing]")
{
    MetricsRegistry metrics;
    std::atomic<Share> newShare{fullShare};
    RouterHooks hooks;
    hooks.time = systemTime();
    hooks.random = [] { return seededRandom(7); };
    hooks.split = [&newShare](const Service &) {
        return VersionSplit{TicketNumber(1), VersionName("v1"), VersionName("v2"), newShare.load(), fullShare};
    };
    const auto router = Router::create(tests::callerInA(), hooks, metrics);
    router->applyConfig(ledgerState({routeOf("orders", "/orders")}, true));
    router->recordParentContact();
    Endpoint target = servingTarget(1, "v2");
    target.slots = SlotCount(1);
    router->applyEndpoints({servingTarget(0, "v1"), target});
    const auto select = [&router] {
        SelectionRequest request;
        request.match = *router->match("", "/orders");
        request.deadline = systemTime().monotonic() + Seconds(30);
        return router->select(request);
    };
    const auto held = *select();
    auto waiting = std::async(std::launch::async, select);
    while (metrics.counter("dandeliondock_routing_queued_total").value() == 0)
        std::this_thread::sleep_for(Milliseconds(1));
    newShare = noShare;
    router->recordParentContact();
    held->finish(answered());
    const auto session = waiting.get();
    REQUIRE(session.ok());
    CHECK((*session)->endpoint().version.value() == "v1");
}

// Guards against a wait that goes on after the deadline.
TEST_CASE("a wait ends with the deadline", "[routing]")
{
    BusyRouter busy;
    CHECK(errorKind(busy.select("/orders", Milliseconds(30)).status()) == ErrorKind::DeadlineExceeded);
    CHECK(busy.metrics.counter("dandeliondock_routing_refusals_total", "deadline_passed").value() == 1);
    busy.held->finish(answered());
    CHECK(busy.select("/orders", Milliseconds(30)).ok());
}

// Guards against races between selection, release and changes of the directory.
TEST_CASE("eight threads select while targets come and go", "[routing]")
{
    MetricsRegistry metrics;
    RouterHooks hooks;
    hooks.time = systemTime();
    hooks.random = [] { return seededRandom(7); };
    const auto router = Router::create(tests::callerInA(), hooks, metrics);
    router->applyConfig(ledgerState({routeOf("orders", "/orders")}));
    for (unsigned number = 0; number < 11; ++number)
        router->applyEndpoints({servingTarget(number)});
    router->recordParentContact();
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 8; ++thread) {
        threads.emplace_back([&] {
            for (int request = 0; request < 2'000; ++request) {
                router->recordParentContact();
                const auto match = router->match("", "/orders");
                const auto session = router->select({*match, {}, {}, systemTime().monotonic() + Seconds(10)});
                if (session.ok()) {
                    (*session)->finish(request % 7 == 0 ? outcomeOf(AttemptResult::MayHaveRun) : answered());
                    ++served;
                }
            }
        });
    }
    for (int round = 0; round < 200; ++round) {
        Endpoint record = servingTarget(static_cast<unsigned>(round % 10));
        record.stamp.state = round % 2 == 0 ? EndpointState::Leaving : EndpointState::Serving;
        router->applyEndpoints({record});
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(served == 16'000);
}

} // namespace dandeliondock
