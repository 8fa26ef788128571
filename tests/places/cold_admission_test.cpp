#include <dandeliondock/core/random_source.h>
#include <dandeliondock/places/cold_admission.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace dandeliondock {
namespace {

const ColdBounds bounds{1.5, RequestAmount(8)};
constexpr double rate = 10;
constexpr double boundPerSecond = rate * 1.5 + 8;
constexpr Milliseconds coldTime{4'000};

MonotonicTime at(std::int64_t milliseconds)
{
    return MonotonicTime(Milliseconds(1'000'000 + milliseconds));
}

ColdAdmission admissionWithRate()
{
    ColdAdmission admission(bounds);
    admission.setColdStart({coldTime, RequestRate(rate)}, at(-10'000));
    admission.startProbe(at(-9'000));
    admission.finishProbe(Milliseconds{0}, at(-9'000));
    return admission;
}

/// Largest number of times within any second.
std::size_t mostInOneSecond(const std::vector<MonotonicTime> &times)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= Seconds(1))
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// A target that becomes cold at times that its proxy does not know, and responds to probes after a delay.
class SimulatedTarget
{
public:
    explicit SimulatedTarget(std::vector<MonotonicTime> coldFrom) : m_coldFrom(std::move(coldFrom)) {}

    [[nodiscard]] Milliseconds coldRemaining(MonotonicTime now) const
    {
        for (const MonotonicTime from : m_coldFrom) {
            if (now >= from && now < from + coldTime)
                return std::chrono::ceil<Milliseconds>(from + coldTime - now);
        }
        return Milliseconds{0};
    }

    void receive(MonotonicTime now)
    {
        if (coldRemaining(now).count() > 0)
            m_receivedCold.push_back(now);
    }

    [[nodiscard]] const std::vector<MonotonicTime> &receivedCold() const noexcept { return m_receivedCold; }

private:
    std::vector<MonotonicTime> m_coldFrom;
    std::vector<MonotonicTime> m_receivedCold;
};

struct Probe
{
    bool isRunning = false;
    MonotonicTime endsAt;
    Milliseconds remaining{0};
};

} // namespace

// Guards against a target that is sent more than it bears as soon as it is cold.
TEST_CASE("an announced cold target gets its rate and half of the slack in any second", "[places]")
{
    ColdAdmission admission = admissionWithRate();
    admission.recordAnnouncement(coldTime, at(0));
    std::vector<MonotonicTime> sent;
    for (int time = 0; time < 4'000; ++time) {
        if (admission.maySend(0, at(time))) {
            admission.recordSent(at(time));
            sent.push_back(at(time));
        }
    }
    CHECK(mostInOneSecond(sent) <= 14);
    CHECK(sent.size() >= 43); // 4 s at the rate and the burst
}

// Guards against a target that is restarted while it runs many requests: those of the last second count, too.
TEST_CASE("requests sent just before the target is found to be cold count towards the bound", "[places]")
{
    ColdAdmission admission = admissionWithRate();
    std::vector<MonotonicTime> sent;
    for (int time = 0; time < 200; time += 10) {
        admission.recordSent(at(time));
        sent.push_back(at(time));
    }
    admission.recordAnnouncement(coldTime, at(200));
    for (int time = 200; time < 3'000; ++time) {
        if (admission.maySend(0, at(time))) {
            admission.recordSent(at(time));
            sent.push_back(at(time));
        }
    }
    CHECK(mostInOneSecond(sent) <= static_cast<std::size_t>(boundPerSecond));
    CHECK(sent.back() >= at(2'800));
}

// Guards against flooding a target between the moment at which it becomes cold and its next heartbeat.
TEST_CASE("a target that becomes cold unannounced is never sent more than the bound in a second", "[places]")
{
    CHECK(rc::check("bound", [] {
        const auto coldAt = *rc::gen::inRange(1'000, 4'000);
        const auto coldAgainAfter = *rc::gen::inRange(0, 9'000);
        const auto perSecond = *rc::gen::inRange<std::uint64_t>(5, 200);
        const auto probeDelay = *rc::gen::inRange(0, 60);
        const auto failuresPerTenProbes = *rc::gen::inRange<std::uint64_t>(0, 4);
        SimulatedTarget target({at(coldAt), at(coldAt + 4'000 + coldAgainAfter)});
        ColdAdmission admission = admissionWithRate();
        RandomSource random = seededRandom(*rc::gen::arbitrary<std::uint64_t>());
        Probe probe;
        for (int time = 0; time < 18'000; ++time) {
            const MonotonicTime now = at(time);
            if (time % 1'500 == 0)
                admission.recordAnnouncement(target.coldRemaining(now), now);
            if (probe.isRunning && now >= probe.endsAt) {
                const bool fails = uniformBelow(random, 10) < failuresPerTenProbes;
                admission.finishProbe(fails ? std::nullopt : std::optional(probe.remaining), now);
                probe.isRunning = false;
            }
            if (admission.isProbeDue(now)) {
                admission.startProbe(now);
                const Milliseconds remaining = target.coldRemaining(now + Milliseconds(probeDelay / 2));
                probe = {true, now + Milliseconds(probeDelay), remaining};
            }
            if (uniformBelow(random, 1'000) < perSecond && admission.maySend(0, now)) {
                admission.recordSent(now);
                target.receive(now);
            }
        }
        RC_ASSERT(mostInOneSecond(target.receivedCold()) <= static_cast<std::size_t>(boundPerSecond));
    }));
}

// Guards against a proxy that holds a warm target to the rate of a cold one, or probes it with each request.
TEST_CASE("a warm target gets all requests and few probes", "[places]")
{
    ColdAdmission admission = admissionWithRate();
    int refused = 0;
    int probes = 0;
    Probe probe;
    for (int time = 0; time < 10'000; ++time) {
        const MonotonicTime now = at(time);
        if (probe.isRunning && now >= probe.endsAt) {
            admission.finishProbe(Milliseconds{0}, now);
            probe.isRunning = false;
        }
        if (admission.isProbeDue(now)) {
            ++probes;
            admission.startProbe(now);
            probe = {true, now + Milliseconds(3), {}};
        }
        if (time % 25 != 0)
            continue;
        refused += admission.maySend(0, now) ? 0 : 1;
        admission.recordSent(now);
    }
    CHECK(refused == 0);
    CHECK(probes <= 40); // of 400 requests
    CHECK(probes >= 20);
    ColdAdmission quiet = admissionWithRate();
    for (int time = 0; time < 10'000; time += 120) {
        quiet.recordSent(at(time));
        CHECK_FALSE(quiet.isProbeDue(at(time))); // fewer in a second than even a cold target may get
    }
}

// Guards against a target that is flooded when it is replaced by a new process: its connections break before the first
// heartbeat of that process.
TEST_CASE("after a sign the target is limited until a probe that started later has found it warm", "[places]")
{
    ColdAdmission admission = admissionWithRate();
    admission.recordSent(at(0));
    CHECK_FALSE(admission.isLimited(at(0)));
    REQUIRE(admission.isProbeDue(at(0)) == false);
    admission.suspect(at(1));
    CHECK(admission.isLimited(at(1)));
    REQUIRE(admission.isProbeDue(at(1)));
    admission.startProbe(at(1));
    admission.suspect(at(5)); // the process was replaced after the probe was sent
    admission.finishProbe(Milliseconds{0}, at(6));
    CHECK(admission.isLimited(at(7)));
    CHECK_FALSE(admission.isProbeDue(at(7)));
    REQUIRE(admission.isProbeDue(at(26)));
    admission.recordAnnouncement(Milliseconds{0}, at(27)); // of the earlier process
    CHECK(admission.isLimited(at(27)));
    admission.startProbe(at(27));
    admission.finishProbe(Milliseconds{0}, at(28));
    CHECK_FALSE(admission.isLimited(at(29)));
}

// Guards against a target that stays limited although its health path does not respond, and against endless probes.
TEST_CASE("without a response to probes the limit ends after the duration of a cold start", "[places]")
{
    ColdAdmission admission = admissionWithRate();
    admission.suspect(at(0));
    int probes = 0;
    for (int time = 0; time < 10'000; ++time) {
        if (!admission.isProbeDue(at(time)))
            continue;
        ++probes;
        admission.startProbe(at(time));
        admission.finishProbe(std::nullopt, at(time));
    }
    CHECK(probes <= 40);
    CHECK_FALSE(admission.isLimited(at(10'000)));
    ColdAdmission other = admissionWithRate();
    other.suspect(at(0));
    CHECK(other.isLimited(at(3'999)));
    CHECK_FALSE(other.isLimited(at(4'000)));
}

// Guards against a warm target that gets the rate of a cold one because its service has no usable health path.
TEST_CASE("a warm target whose probes all fail is not limited for long", "[places]")
{
    ColdAdmission admission = admissionWithRate();
    int refused = 0;
    for (int time = 0; time < 10'000; time += 5) {
        if (admission.isProbeDue(at(time))) {
            admission.startProbe(at(time));
            admission.finishProbe(std::nullopt, at(time));
        }
        if (time % 25 != 0)
            continue;
        if (admission.maySend(0, at(time)))
            admission.recordSent(at(time));
        else
            ++refused;
    }
    CHECK(refused > 0);
    CHECK(refused < 60); // of 400 requests
}

// Guards against a target that is flooded because one probe failed some time ago.
TEST_CASE("a single failed probe does not remove the limit later", "[places]")
{
    ColdAdmission admission = admissionWithRate();
    admission.startProbe(at(0));
    admission.finishProbe(std::nullopt, at(0));
    int sent = 0;
    for (int time = 5'000; time < 5'100 && admission.maySend(0, at(time)); ++time, ++sent)
        admission.recordSent(at(time));
    CHECK(sent <= static_cast<int>(boundPerSecond));
}

// Guards against a flood at the time at which the target was expected to be warm: it becomes warm only with traffic.
TEST_CASE("the limit lasts beyond the announced time until the target reports that it is warm", "[places]")
{
    ColdAdmission admission = admissionWithRate();
    admission.recordAnnouncement(Milliseconds(500), at(0));
    CHECK_FALSE(admission.isProbeDue(at(499)));
    CHECK(admission.timeToProbe(at(400)) == Milliseconds(100));
    CHECK(admission.isLimited(at(600)));
    REQUIRE(admission.isProbeDue(at(600)));
    admission.startProbe(at(600));
    admission.finishProbe(Milliseconds(300), at(602));
    CHECK(admission.isLimited(at(800)));
    admission.recordAnnouncement(Milliseconds{0}, at(1'000));
    CHECK_FALSE(admission.isLimited(at(1'000)));
}

// Guards against a deployment without cold targets that behaves in another way than before.
TEST_CASE("without a rate nothing is limited or probed", "[places]")
{
    ColdAdmission admission(bounds);
    admission.setColdStart({coldTime, RequestRate(0)}, at(0));
    admission.recordAnnouncement(coldTime, at(0));
    admission.suspect(at(0));
    for (int index = 0; index < 1'000; ++index)
        admission.recordSent(at(0));
    CHECK(admission.maySend(5, at(0)));
    CHECK_FALSE(admission.isProbeDue(at(0)));
    CHECK_FALSE(admission.timeToProbe(at(0)).has_value());
    CHECK(admission.report(true, at(0)) == ColdReport());
}

// Guards against a cold target that is flooded while its proxy, which has just started, does not know the
// configuration.
TEST_CASE("a target that announced that it is cold gets nothing until its rate is known", "[places]")
{
    ColdAdmission admission(bounds);
    CHECK(admission.maySend(0, at(0)));
    admission.recordAnnouncement(Milliseconds(500), at(0));
    CHECK_FALSE(admission.maySend(0, at(499)));
    CHECK(admission.timeToSend(0, at(499)) == configurationDelay);
    CHECK(admission.report(true, at(499)).wait == configurationDelay);
    CHECK(admission.maySend(0, at(500)));
    admission.recordAnnouncement(coldTime, at(600));
    ColdAdmission withoutRate = admission;
    withoutRate.setColdStart({coldTime, RequestRate(0)}, at(700));
    CHECK(withoutRate.maySend(0, at(700)));
    admission.setColdStart({coldTime, RequestRate(rate)}, at(700));
    CHECK(admission.isCold(at(700)));
    CHECK_FALSE(admission.maySend(0, at(700)));
    CHECK(admission.maySend(0, at(800)));
}

// Guards against senders that all return at the same moment after they were refused.
TEST_CASE("refused senders get turns that are one interval apart", "[places]")
{
    ColdAdmission admission = admissionWithRate();
    admission.recordAnnouncement(coldTime, at(0));
    while (admission.maySend(0, at(0)))
        admission.recordSent(at(0));
    Milliseconds previous{0};
    for (int sender = 0; sender < 20; ++sender) {
        const ColdReport report = admission.report(true, at(1));
        CHECK(report.remaining == Milliseconds(3'999));
        CHECK(report.interval == Milliseconds(100));
        CHECK(report.wait >= (sender == 0 ? Milliseconds(1) : previous + report.interval));
        previous = report.wait;
    }
    for (int sender = 0; sender < 100; ++sender)
        CHECK(admission.report(true, at(1)).wait <= maxColdWait);
}

} // namespace dandeliondock
