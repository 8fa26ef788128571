#include <dandeliondock/node/endpoint_registry.h>

#include <support/routing_fixture.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>

namespace dandeliondock {
namespace {

const RegionName east("east");
const RegionName west("west");

/// \brief A registry with its router and a clock that the test advances.
class RegistryFixture
{
public:
    RegistryFixture() : m_router(Router::create(tests::callerInA(), routerHooks(), m_metrics))
    {
        m_router->applyConfig(tests::ledgerState({tests::routeOf("all", "/")}));
        m_router->setReady(true);
        EndpointRegistryHooks hooks;
        hooks.time = m_time;
        hooks.relayUpward = [this] { ++announcements; };
        registry = std::make_unique<EndpointRegistry>(east, m_router, hooks);
    }

    RegistryFixture(const RegistryFixture &) = delete;
    RegistryFixture &operator=(const RegistryFixture &) = delete;

    bool selects()
    {
        m_router->recordParentContact();
        const auto match = m_router->match("mill.example", "/");
        auto session = m_router->select({*match, {}, {}, m_time.monotonic() + Seconds(1)});
        if (!session.ok())
            return false;
        (*session)->finish(tests::attemptOutcome());
        return true;
    }

    void advance(Milliseconds step) { m_now += step; }

    std::unique_ptr<EndpointRegistry> registry;
    int announcements = 0;

private:
    RouterHooks routerHooks()
    {
        m_time = systemTime();
        m_time.monotonic = [this] { return m_now; };
        RouterHooks hooks;
        hooks.time = m_time;
        hooks.random = [] { return systemRandom(); };
        return hooks;
    }

    MonotonicTime m_now{Seconds(100)};
    TimeSource m_time;
    MetricsRegistry m_metrics;
    std::shared_ptr<Router> m_router;
};

Endpoint recordOf(unsigned number, const RegionName &region = east)
{
    Endpoint record = tests::servingTarget(number, "v1", "a", region.value());
    record.controlAddress = Address("127.0.0.1:" + std::to_string(20'000 + number));
    return record;
}

Endpoint withState(Endpoint record, EndpointState state)
{
    record.stamp.sequence = SequenceNumber(record.stamp.sequence.value() + 1);
    record.stamp.state = state;
    return record;
}

std::size_t countOf(const std::vector<Endpoint> &records, const RegionName &region)
{
    return static_cast<std::size_t>(std::count_if(records.begin(), records.end(),
                                                  [&](const Endpoint &record) { return record.region == region; }));
}

} // namespace

// Guards against requests that are still sent to a target after its Leaving record was merged.
TEST_CASE("a leaving target is removed from the router immediately", "[node]")
{
    RegistryFixture fixture;
    CHECK(fixture.registry->merge({recordOf(1)}));
    CHECK(fixture.selects());
    CHECK(fixture.registry->merge({withState(recordOf(1), EndpointState::Leaving)}));
    CHECK_FALSE(fixture.selects());
    CHECK(fixture.registry->servingCount(ServiceName("ledger"), VersionName("v1")) == 0);
    CHECK_FALSE(fixture.registry->merge({recordOf(1)}));
    CHECK_FALSE(fixture.selects());
}

// Guards against a target that stays in use after its node stopped polling.
TEST_CASE("the target of a lost node is marked as gone and relayed once", "[node]")
{
    RegistryFixture fixture;
    (void)fixture.registry->merge({recordOf(1), recordOf(2)});
    fixture.registry->markLost(recordOf(1).controlAddress);
    CHECK(fixture.announcements == 1);
    CHECK(fixture.registry->sampleControlAddresses() == std::vector{recordOf(2).controlAddress});
    fixture.registry->markLost(recordOf(1).controlAddress);
    CHECK(fixture.announcements == 1);
}

// Guards against a live target that stays unused because a parent marked it as gone.
TEST_CASE("the registry refutes a false record about the local target", "[node]")
{
    RegistryFixture fixture;
    Endpoint self = recordOf(1);
    self.stamp = {Incarnation(1), SequenceNumber(0), EndpointState::Starting};
    fixture.registry->setLocalTarget(self);
    fixture.registry->announce(EndpointState::Serving);
    CHECK(fixture.announcements == 1);
    const Endpoint gone = withState(fixture.registry->all(east).front(), EndpointState::Gone);
    CHECK(fixture.registry->merge({gone}));
    CHECK(fixture.announcements == 2);
    const std::vector<Endpoint> records = fixture.registry->all(east);
    REQUIRE(records.size() == 1);
    CHECK(records.front().stamp.state == EndpointState::Serving);
    CHECK(records.front().stamp.incarnation > gone.stamp.incarnation);
    CHECK(fixture.selects());
}

// Guards against traffic on the metered link that grows with the number of targets, and against records of a region
// that are sent back to it.
TEST_CASE("another region gets the summary, final states and no record of its own", "[node]")
{
    RegistryFixture fixture;
    for (unsigned number = 0; number < 40; ++number)
        (void)fixture.registry->merge({recordOf(number)});
    (void)fixture.registry->merge({recordOf(100, west), recordOf(101, RegionName("north"))});
    CHECK(fixture.registry->all(east).size() == 42);
    const std::vector<Endpoint> crossing = fixture.registry->all(west);
    CHECK(countOf(crossing, east) == 4);
    CHECK(countOf(crossing, west) == 0);
    CHECK(countOf(crossing, RegionName("north")) == 1);
    const ChangeCursor seen = fixture.registry->cursor();
    const auto inSummary = std::find_if(crossing.begin(), crossing.end(),
                                        [](const Endpoint &record) { return record.region == east; });
    const Endpoint left = withState(*inSummary, EndpointState::Leaving);
    (void)fixture.registry->merge({left});
    const std::vector<Endpoint> changes = fixture.registry->changes(seen, west).records;
    // The Leaving record, and the target that replaces it in the summary.
    REQUIRE(changes.size() == 2);
    CHECK(std::count(changes.begin(), changes.end(), left) == 1);
    CHECK(countOf(fixture.registry->all(west), east) == 5);
}

// Guards against calls to an unreachable region, and against a digest that depends on the contacts of each node.
TEST_CASE("targets of an unreachable region expire from registry and router", "[node]")
{
    RegistryFixture fixture;
    const DirectoryDigest empty = fixture.registry->digest();
    (void)fixture.registry->merge({recordOf(1, west)});
    CHECK(fixture.registry->digest() == empty);
    CHECK(fixture.selects());
    fixture.advance(Seconds(31));
    fixture.registry->recordRegionContact({east});
    CHECK(fixture.registry->all(east).empty());
    CHECK_FALSE(fixture.selects());
}

// Guards against a record that returns to an older stamp when messages are reordered or late.
TEST_CASE("a record never returns to an older stamp", "[node]")
{
    rc::prop("the stored stamp only increases", [] {
        RegistryFixture fixture;
        EndpointStamp highest{Incarnation(0), SequenceNumber(0), EndpointState::Starting};
        const auto stamps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, int>>>(
                rc::gen::tuple(rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 3U), rc::gen::inRange(0, 4)));
        for (const auto &[incarnation, sequence, state] : stamps) {
            Endpoint record = recordOf(1);
            record.stamp = {Incarnation(incarnation), SequenceNumber(sequence), static_cast<EndpointState>(state)};
            (void)fixture.registry->merge({record});
            highest = std::max(highest, record.stamp);
            RC_ASSERT(fixture.registry->all(east).front().stamp == highest);
        }
    });
}

// Guards against a parent poller that copies every address of a large region at each poll.
TEST_CASE("the sample of control addresses is bounded and only from the own region", "[node]")
{
    RegistryFixture fixture;
    std::vector<Endpoint> records;
    for (unsigned number = 0; number < 500; ++number)
        records.push_back(recordOf(number, number % 2 == 0 ? east : west));
    (void)fixture.registry->merge(records);
    const std::vector<Address> sample = fixture.registry->sampleControlAddresses();
    CHECK(sample.size() == 32);
    for (const Endpoint &record : records) {
        if (record.region == west)
            CHECK(std::count(sample.begin(), sample.end(), record.controlAddress) == 0);
    }
    fixture.advance(Seconds(1));
    CHECK(fixture.registry->sampleControlAddresses() != sample);
}

} // namespace dandeliondock
