#include <dandeliondock/rollout/version_comparison.h>

#include <dandeliondock/core/random_source.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr std::uint64_t million = 1'000'000;

OutcomeSummary randomOutcomes(const RandomSource &random, std::uint64_t requests, std::uint64_t failuresInMillion,
                              std::uint64_t slowInMillion)
{
    OutcomeSummary summary;
    for (std::uint64_t count = 0; count < requests; ++count) {
        ++summary.requests;
        if (uniformBelow(random, million) < failuresInMillion)
            ++summary.failures;
        else
            ++summary.latencyBuckets[uniformBelow(random, million) < slowInMillion ? 9 : 5];
    }
    return summary;
}

struct Rates
{
    std::uint64_t oldFailures;
    std::uint64_t newFailures;
    std::uint64_t newSlow;
};

Verdict verdictFor(std::uint64_t seed, const Rates &rates)
{
    const RandomSource random = seededRandom(seed);
    VersionComparison comparison;
    for (int round = 0; round < 200 && comparison.verdict() == Verdict::Undecided; ++round) {
        RouteOutcomes outcomes{TicketNumber(7), RouteName("orders"), {}, {}, 0};
        outcomes.oldVersion = randomOutcomes(random, 50, rates.oldFailures, 10'000);
        outcomes.newVersion = randomOutcomes(random, 10, rates.newFailures, rates.newSlow);
        comparison.add(outcomes);
    }
    return comparison.verdict();
}

} // namespace

// Guards against rejecting a version that behaves like the old one, also when both fail often.
TEST_CASE("a version that behaves like the old one is never rejected", "[rollout]")
{
    rc::prop("at any failure rate", [](std::uint64_t seed) {
        const std::uint64_t rate = *rc::gen::inRange(std::uint64_t{0}, million);
        RC_ASSERT(verdictFor(seed, {rate, rate, 10'000}) != Verdict::Bad);
    });
}

// Guards against accepting a version that is worse by more than the detectable excess.
TEST_CASE("a worse version is rejected", "[rollout]")
{
    rc::prop("for failures", [](std::uint64_t seed) {
        RC_ASSERT(verdictFor(seed, {2'000, 200'000, 10'000}) == Verdict::Bad);
    });
    rc::prop("for slow responses", [](std::uint64_t seed) {
        RC_ASSERT(verdictFor(seed, {2'000, 2'000, 500'000}) == Verdict::Bad);
    });
}

// Guards against rolling a good version back because a larger part of its few requests opens a new connection: a demo
// run on a busy machine rejected a good version because 16 of 56 responses counted as slow, all of them within 4 ms.
TEST_CASE("responses within a few milliseconds never count as slow", "[rollout]")
{
    VersionComparison comparison;
    for (int round = 0; round < 100; ++round) {
        RouteOutcomes outcomes{TicketNumber(7), RouteName("orders"), {}, {}, 0};
        outcomes.oldVersion.requests = 50;
        outcomes.oldVersion.latencyBuckets[1] = 50;
        outcomes.newVersion.requests = 10;
        outcomes.newVersion.latencyBuckets[1] = 5;
        outcomes.newVersion.latencyBuckets[maxFastBucket] = 5;
        comparison.add(outcomes);
    }
    CHECK(comparison.verdict() != Verdict::Bad);
}

} // namespace dandeliondock
