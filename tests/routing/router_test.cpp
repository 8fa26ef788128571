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

using tests::attemptOutcome;
using tests::ledgerState;
using tests::outcomeOf;
using tests::routeOf;
using tests::servingTarget;

namespace {

// Router with a manual clock, a configurable traffic split and simulated probes.
struct RouterFixture
{
    MetricsRegistry metrics;
    std::atomic<MonotonicTime> now{MonotonicTime(Seconds(1'000))};
    std::atomic<Share> newShare{noShare};
    std::set<TargetId> drainingTargets; ///< targets that respond to probes as draining, whatever their records say
    int probes = 0;
    std::shared_ptr<Router> router;

    explicit RouterFixture(bool withRollout = false)
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
        return drainingTargets.count(endpoint.target) > 0 ? ProbeResult::Draining : ProbeResult::AcceptsRequests;
    }

    absl::StatusOr<std::shared_ptr<TargetSession>> select(const std::string &path = "/orders",
                                                          Milliseconds timeout = Milliseconds(1'000))
    {
        SelectionRequest request;
        request.match = *router->match("", path);
        request.deadline = now.load() + timeout;
        return router->select(request);
    }

    std::uint64_t refusalCount(const std::string &reason)
    {
        return metrics.counter("dandeliondock_routing_refusals_total", reason).value();
    }
};

} // namespace

// Guards against requests sent to a target after its Leaving record was received.
TEST_CASE("a leaving target is not selected once its record is merged", "[routing]")
{
    rc::prop("only targets that the directory lists as serving are selected, for any order of records", [] {
        RouterFixture fixture;
        EndpointDirectory directory(RegionName("east"));
        const auto steps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, int>>>(
                rc::gen::tuple(rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 4U), rc::gen::inRange(0, 4)));
        for (const auto &[number, sequence, state] : steps) {
            Endpoint record = servingTarget(number);
            record.stamp = {Incarnation(1), SequenceNumber(sequence), static_cast<EndpointState>(state)};
            const DirectoryVersion before = directory.version();
            directory.merge(record, fixture.now);
            fixture.router->applyEndpoints(directory.changesSince(before));
            const auto session = fixture.select();
            if (session.ok())
                RC_ASSERT(directory.find((*session)->endpoint().target)->stamp.state == EndpointState::Serving);
            else
                RC_ASSERT(errorKind(session.status()) == ErrorKind::NoTarget);
        }
    });
}

// Guards against requests sent to a draining target whose Leaving record was lost.
TEST_CASE("a draining target is not selected once the directory is stale", "[routing]")
{
    rc::prop("from three seconds after the last parent contact, every selected target accepts requests", [] {
        RouterFixture fixture;
        const auto count = *rc::gen::inRange(1U, 6U);
        for (unsigned number = 0; number < count; ++number)
            fixture.router->applyEndpoints({servingTarget(number)});
        for (unsigned number = 0; number < count; ++number) {
            if (*rc::gen::arbitrary<bool>())
                fixture.drainingTargets.insert(servingTarget(number).target);
        }
        fixture.now = fixture.now.load() + viewTtl;
        for (int request = 0; request < 50; ++request) {
            const auto session = fixture.select();
            if (session.ok())
                RC_ASSERT(fixture.drainingTargets.count((*session)->endpoint().target) == 0U);
            else
                RC_ASSERT(fixture.drainingTargets.size() == count);
        }
        RC_ASSERT(fixture.probes <= static_cast<int>(count));
        fixture.now = fixture.now.load() + verificationTtl;
        const int before = fixture.probes;
        RC_ASSERT(fixture.select().ok() == (fixture.drainingTargets.size() < count));
        RC_ASSERT(fixture.probes == before + (fixture.drainingTargets.size() < count ? 1 : 0));
    });
}

// Guards against a refusal although one of many targets still accepts requests and the Leaving records of the others
// were lost.
TEST_CASE("with a stale directory the only target that accepts requests is found", "[routing]")
{
    for (unsigned count = 1; count <= 12; ++count) {
        RouterFixture fixture;
        for (unsigned number = 0; number < count; ++number) {
            fixture.router->applyEndpoints({servingTarget(number)});
            if (number != 0)
                fixture.drainingTargets.insert(servingTarget(number).target);
        }
        fixture.now = fixture.now.load() + viewTtl;
        const auto session = fixture.select();
        REQUIRE(session.ok());
        CHECK((*session)->endpoint().target == servingTarget(0).target);
    }
}

// Guards against further requests to a target whose response had the drain header.
TEST_CASE("a target is not selected after a response with the drain header", "[routing]")
{
    RouterFixture fixture;
    fixture.router->applyEndpoints({servingTarget(0), servingTarget(1)});
    AttemptOutcome outcome = attemptOutcome();
    outcome.draining = true;
    const auto first = *fixture.select();
    const TargetId drained = first->endpoint().target;
    first->finish(outcome);
    for (int request = 0; request < 50; ++request)
        CHECK((*fixture.select())->endpoint().target != drained);
}

// Guards against requests to a version that was rolled back or has no share.
TEST_CASE("only versions of the current split are selected", "[routing]")
{
    RouterFixture fixture(true);
    fixture.router->applyEndpoints({servingTarget(0, "v1"), servingTarget(1, "v2"), servingTarget(2, "v3")});
    for (int request = 0; request < 200; ++request)
        CHECK((*fixture.select())->endpoint().version.value() == "v1");
    fixture.newShare = fullShare;
    for (int request = 0; request < 200; ++request) {
        const auto session = *fixture.select();
        CHECK(session->endpoint().version.value() == "v2");
        CHECK(session->isNewVersion());
    }
}

// Guards against refusals with the wrong error kind or without a count.
TEST_CASE("each refusal has its error kind and its counter", "[routing]")
{
    RouterFixture fixture;
    CHECK(errorKind(fixture.router->match("", "/absent").status()) == ErrorKind::NotFound);
    CHECK(errorKind(fixture.select().status()) == ErrorKind::NoTarget);
    fixture.router->applyEndpoints({servingTarget(0)});
    CHECK(errorKind(fixture.select("/orders", Milliseconds(0)).status()) == ErrorKind::DeadlineExceeded);
    fixture.router->setReady(false);
    CHECK(errorKind(fixture.router->match("", "/orders").status()) == ErrorKind::NotReady);
    CHECK(fixture.refusalCount("no_route") == 1);
    CHECK(fixture.refusalCount("no_target") == 1);
    CHECK(fixture.refusalCount("deadline_unmeetable") == 1);
    CHECK(fixture.refusalCount("not_ready") == 1);
}

// Guards against the final refusal of a route that was added while the node had no contact with its parent.
TEST_CASE("a router without recent contact does not refuse an unknown route finally", "[routing]")
{
    RouterFixture fixture;
    fixture.now = fixture.now.load() + viewTtl;
    CHECK(errorKind(fixture.router->match("", "/absent").status()) == ErrorKind::NotReady);
    CHECK(fixture.refusalCount("not_ready") == 1);
    CHECK(fixture.router->match("", "/orders").ok());
    fixture.router->recordParentContact();
    CHECK(errorKind(fixture.router->match("", "/absent").status()) == ErrorKind::NotFound);
}

// Guards against a request that is the first to run after a pause of the process and is routed before the pause is
// detected.
TEST_CASE("a router refuses requests when its last heartbeat is too old", "[routing]")
{
    RouterFixture fixture;
    fixture.router->recordHeartbeat();
    CHECK(fixture.router->match("", "/orders").ok());
    fixture.now = fixture.now.load() + pauseThreshold + Milliseconds(1);
    CHECK(errorKind(fixture.router->match("", "/orders").status()) == ErrorKind::NotReady);
    fixture.router->recordHeartbeat();
    CHECK(fixture.router->match("", "/orders").ok());
}

// Guards against slots that are never released, which would use up a target's limit for good.
TEST_CASE("a session that is dropped or finished twice releases its slot once", "[routing]")
{
    RouterFixture fixture;
    fixture.router->applyEndpoints({servingTarget(0)});
    for (int round = 0; round < 100; ++round) {
        std::vector<std::shared_ptr<TargetSession>> sessions;
        for (int request = 0; request < 20; ++request)
            sessions.push_back(*fixture.select());
        sessions.front()->finish(attemptOutcome());
        sessions.front()->finish(attemptOutcome());
    }
    CHECK(fixture.select("/orders", Milliseconds(1)).ok());
}

namespace {

// Router whose only target has one slot, which is in use.
struct BusyRouter
{
    MetricsRegistry metrics;
    std::shared_ptr<Router> router;
    std::shared_ptr<TargetSession> heldSession;

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
        heldSession = *select("/orders", Seconds(30));
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

// Guards against deferrable requests (documents) that are served before critical ones (orders) when a slot is released.
TEST_CASE("a released slot goes to critical work that arrived later", "[routing]")
{
    BusyRouter busy;
    std::vector<std::string> served;
    std::mutex mutex;
    const auto serve = [&](const std::string &path) {
        const auto session = busy.select(path, Seconds(30));
        const std::scoped_lock lock(mutex);
        served.push_back(session.ok() ? path : "refused");
        if (session.ok())
            (*session)->finish(attemptOutcome());
    };
    auto documents = std::async(std::launch::async, serve, "/documents");
    busy.waitUntilQueued(1);
    auto orders = std::async(std::launch::async, serve, "/orders");
    busy.waitUntilQueued(2);
    busy.heldSession->finish(attemptOutcome());
    orders.get();
    documents.get();
    CHECK(served == std::vector<std::string>{"/orders", "/documents"});
}

// Guards against a request that waits during a rollback and is then sent to the version that was rolled back.
TEST_CASE("a slot on a version that was rolled back during the wait is released", "[routing]")
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
    const auto heldSession = *select();
    auto waiting = std::async(std::launch::async, select);
    while (metrics.counter("dandeliondock_routing_queued_total").value() == 0)
        std::this_thread::sleep_for(Milliseconds(1));
    newShare = noShare;
    router->recordParentContact();
    heldSession->finish(attemptOutcome());
    const auto session = waiting.get();
    REQUIRE(session.ok());
    CHECK((*session)->endpoint().version.value() == "v1");
}

// Guards against a wait that continues after the deadline.
TEST_CASE("a wait for a slot ends at the deadline", "[routing]")
{
    BusyRouter busy;
    CHECK(errorKind(busy.select("/orders", Milliseconds(30)).status()) == ErrorKind::DeadlineExceeded);
    CHECK(busy.metrics.counter("dandeliondock_routing_refusals_total", "deadline_passed").value() == 1);
    busy.heldSession->finish(attemptOutcome());
    CHECK(busy.select("/orders", Milliseconds(30)).ok());
}

// Guards against races between selection, release and changes of the endpoint directory.
TEST_CASE("eight threads select targets while targets leave and return", "[routing]")
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
                    (*session)->finish(request % 7 == 0 ? outcomeOf(AttemptResult::MayHaveRun) : attemptOutcome());
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
