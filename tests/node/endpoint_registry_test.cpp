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

/// \brief A board with its router and a clock that the test sets.
class BoardFixture
{
public:
    BoardFixture() : m_router(Router::create(tests::callerInA(), routerHooks(), m_metrics))
    {
        m_router->applyConfig(tests::ledgerState({tests::routeOf("all", "/")}));
        m_router->setReady(true);
        EndpointRegistryHooks hooks;
        hooks.time = m_time;
        hooks.relayUpward = [this] { ++announcements; };
        board = std::make_unique<EndpointRegistry>(east, m_router, hooks);
    }

    BoardFixture(const BoardFixture &) = delete;
    BoardFixture &operator=(const BoardFixture &) = delete;

    bool selects()
    {
        m_router->recordParentContact();
        const auto match = m_router->match("mill.example", "/");
        auto session = m_router->select({*match, {}, {}, m_time.monotonic() + Seconds(1)});
        if (!session.ok())
            return false;
        (*session)->finish(tests::answered());
        return true;
    }

    void advance(Milliseconds step) { m_now += step; }

    std::unique_ptr<EndpointRegistry> board;
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

// Guards against requests that still go to a target after its departure was merged.
TEST_CASE("a leaving target is out of the router at once", "[node]")
{
    BoardFixture fixture;
    CHECK(fixture.board->merge({recordOf(1)}));
    CHECK(fixture.selects());
    CHECK(fixture.board->merge({withState(recordOf(1), EndpointState::Leaving)}));
    CHECK_FALSE(fixture.selects());
    CHECK(fixture.board->servingCount(ServiceName("ledger"), VersionName("v1")) == 0);
    CHECK_FALSE(fixture.board->merge({recordOf(1)}));
    CHECK_FALSE(fixture.selects());
}

// Guards against a target that stays in use after its node stopped polling.
TEST_CASE("a lost node's target is marked gone and relayed once", "[node]")
{
    BoardFixture fixture;
    (void)fixture.board->merge({recordOf(1), recordOf(2)});
    fixture.board->markLost(recordOf(1).controlAddress);
    CHECK(fixture.announcements == 1);
    CHECK(fixture.board->sampleControlAddresses() == std::vector{recordOf(2).controlAddress});
    fixture.board->markLost(recordOf(1).controlAddress);
    CHECK(fixture.announcements == 1);
}

// Guards against a live target that stays out of use because a parent marked it gone.
TEST_CASE("the board refutes what others say of its own target", "[node]")
{
    BoardFixture fixture;
    Endpoint self = recordOf(1);
    self.stamp = {Incarnation(1), SequenceNumber(0), EndpointState::Starting};
    fixture.board->setLocalTarget(self);
    fixture.board->announce(EndpointState::Serving);
    CHECK(fixture.announcements == 1);
    const Endpoint gone = withState(fixture.board->all(east).front(), EndpointState::Gone);
    CHECK(fixture.board->merge({gone}));
    CHECK(fixture.announcements == 2);
    const std::vector<Endpoint> held = fixture.board->all(east);
    REQUIRE(held.size() == 1);
    CHECK(held.front().stamp.state == EndpointState::Serving);
    CHECK(held.front().stamp.incarnation > gone.stamp.incarnation);
    CHECK(fixture.selects());
}

// Guards against traffic on the metered link that grows with the number of targets, and against a region that is told
// of its own targets.
TEST_CASE("another region gets the summary, departures and no record of its own", "[node]")
{
    BoardFixture fixture;
    for (unsigned number = 0; number < 40; ++number)
        (void)fixture.board->merge({recordOf(number)});
    (void)fixture.board->merge({recordOf(100, west), recordOf(101, RegionName("north"))});
    CHECK(fixture.board->all(east).size() == 42);
    const std::vector<Endpoint> crossing = fixture.board->all(west);
    CHECK(countOf(crossing, east) == 4);
    CHECK(countOf(crossing, west) == 0);
    CHECK(countOf(crossing, RegionName("north")) == 1);
    const ChangeCursor seen = fixture.board->cursor();
    const auto inSummary = std::find_if(crossing.begin(), crossing.end(),
                                        [](const Endpoint &record) { return record.region == east; });
    const Endpoint left = withState(*inSummary, EndpointState::Leaving);
    (void)fixture.board->merge({left});
    const std::vector<Endpoint> changes = fixture.board->changes(seen, west).records;
    // The departure, and the target that takes its place in the summary.
    REQUIRE(changes.size() == 2);
    CHECK(std::count(changes.begin(), changes.end(), left) == 1);
    CHECK(countOf(fixture.board->all(west), east) == 5);
}

// Guards against calls to a region that was cut off, and against a digest that differs with each one's contacts.
TEST_CASE("a silent region's targets are dropped from board and router", "[node]")
{
    BoardFixture fixture;
    const DirectoryDigest empty = fixture.board->digest();
    (void)fixture.board->merge({recordOf(1, west)});
    CHECK(fixture.board->digest() == empty);
    CHECK(fixture.selects());
    fixture.advance(Seconds(31));
    fixture.board->recordRegionContact({east});
    CHECK(fixture.board->all(east).empty());
    CHECK_FALSE(fixture.selects());
}

// Guards against a record that falls when messages cross or are late.
TEST_CASE("a record on the board never falls", "[node]")
{
    rc::prop("the stamp held only grows", [] {
        BoardFixture fixture;
        EndpointStamp highest{Incarnation(0), SequenceNumber(0), EndpointState::Starting};
        const auto draws = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, int>>>(
                rc::gen::tuple(rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 3U), rc::gen::inRange(0, 4)));
        for (const auto &[incarnation, sequence, state] : draws) {
            Endpoint record = recordOf(1);
            record.stamp = {Incarnation(incarnation), SequenceNumber(sequence), static_cast<EndpointState>(state)};
            (void)fixture.board->merge({record});
            highest = std::max(highest, record.stamp);
            RC_ASSERT(fixture.board->all(east).front().stamp == highest);
        }
    });
}

// Guards against an uplink that copies every address of a large region at each poll.
TEST_CASE("the sample of control addresses is bounded and of the own region", "[node]")
{
    BoardFixture fixture;
    std::vector<Endpoint> records;
    for (unsigned number = 0; number < 500; ++number)
        records.push_back(recordOf(number, number % 2 == 0 ? east : west));
    (void)fixture.board->merge(records);
    const std::vector<Address> sample = fixture.board->sampleControlAddresses();
    CHECK(sample.size() == 32);
    for (const Endpoint &record : records) {
        if (record.region == west)
            CHECK(std::count(sample.begin(), sample.end(), record.controlAddress) == 0);
    }
    fixture.advance(Seconds(1));
    CHECK(fixture.board->sampleControlAddresses() != sample);
}

} // namespace dandeliondock
