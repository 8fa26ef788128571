#include <dandeliondock/core/random_source.h>
#include <dandeliondock/places/cold_admission.h>
#include <dandeliondock/places/cold_pacing.h>

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

namespace dandeliondock {
namespace {

constexpr double rate = 10;
constexpr int testSeconds = 20;

MonotonicTime at(std::int64_t milliseconds)
{
    return MonotonicTime(Milliseconds(1'000'000 + milliseconds));
}

struct Attempts
{
    int served = 0;
    int refused = 0;
};

struct Result
{
    MonotonicTime finishedAt; ///< at the proxy beside the target
    std::size_t sender = 0;
    bool isRefused = false;
    ColdReport report;
};

constexpr Milliseconds workTime{300};
constexpr Milliseconds roundTrip{20};

/// Senders that each have requests at a rate, and one cold target.
Attempts run(std::size_t senders, std::uint64_t requestsPerSecond, bool isPaced)
{
    ColdAdmission admission({1.5, RequestAmount(8)});
    admission.setColdStart({Seconds(testSeconds), RequestRate(rate)}, at(0));
    admission.recordAnnouncement(Seconds(testSeconds + 1), at(0));
    RandomSource random = seededRandom(20261204);
    std::vector<ColdPacing> pacing(senders);
    std::deque<Result> results;
    Attempts attempts;
    for (int time = 0; time < testSeconds * 1'000; ++time) {
        const MonotonicTime now = at(time);
        for (Result &result : results) {
            if (result.finishedAt == now)
                result.report = admission.report(result.isRefused, now);
            else if (result.finishedAt + roundTrip == now)
                pacing[result.sender].record(result.report, now);
        }
        std::erase_if(results, [now](const Result &result) { return result.finishedAt + roundTrip == now; });
        for (std::size_t sender = 0; sender < senders; ++sender) {
            if (uniformBelow(random, 1'000) >= requestsPerSecond || (isPaced && !pacing[sender].maySend(now)))
                continue;
            pacing[sender].recordSent(now);
            const bool isRefused = !admission.maySend(0, now);
            ++(isRefused ? attempts.refused : attempts.served);
            if (!isRefused)
                admission.recordSent(now);
            results.push_back({now + (isRefused ? Milliseconds(1) : workTime), sender, isRefused, {}});
        }
    }
    return attempts;
}

} // namespace

// Guards against a cold target that is starved, and so stays cold, or is sent requests that it refuses: a refused
// request costs as many bytes between data centres as a served one.
TEST_CASE("the requests of all senders together come close to the rate of a cold target", "[places]")
{
    struct Load
    {
        std::size_t senders;
        std::uint64_t requestsPerSecond;
    };

    for (const auto &[senders, requestsPerSecond] : {Load{1, 60}, Load{5, 20}, Load{30, 10}, Load{80, 5}}) {
        CAPTURE(senders);
        const Attempts paced = run(senders, requestsPerSecond, true);
        const Attempts unpaced = run(senders, requestsPerSecond, false);
        CAPTURE(paced.served, paced.refused, unpaced.served, unpaced.refused);
        CHECK(paced.served >= 0.7 * rate * testSeconds);
        CHECK(paced.refused <= paced.served);
        CHECK(paced.refused <= unpaced.refused / 3);
    }
}

// Guards against a sender that uses only the last of several turns which it got at the same time.
TEST_CASE("a sender whose requests were refused together uses the earliest turn", "[places]")
{
    ColdPacing pacing;
    pacing.recordSent(at(0));
    for (const int wait : {100, 200, 300})
        pacing.record({Milliseconds(4'000), Milliseconds(wait), Milliseconds(100)}, at(5));
    CHECK_FALSE(pacing.maySend(at(104)));
    CHECK(pacing.timeToSend(at(55)) == Milliseconds(50));
    CHECK(pacing.maySend(at(105)));
    pacing.recordSent(at(105));
    CHECK_FALSE(pacing.maySend(at(110)));
    CHECK(pacing.maySend(at(205)));
}

// Guards against a target that is paced although it is warm.
TEST_CASE("pacing ends with a report of a warm target or after the reported time", "[places]")
{
    ColdPacing pacing;
    CHECK(pacing.maySend(at(0)));
    pacing.record({Milliseconds(500), Milliseconds(4'000), Milliseconds(100)}, at(0));
    CHECK(pacing.isCold(at(499)));
    CHECK_FALSE(pacing.maySend(at(499)));
    CHECK(pacing.timeToSend(at(100)) == Milliseconds(400));
    CHECK(pacing.maySend(at(500)));
    pacing.record({Milliseconds(500), Milliseconds(4'000), Milliseconds(100)}, at(600));
    pacing.record({}, at(700));
    CHECK(pacing.maySend(at(700)));
}

} // namespace dandeliondock
