#include <dandeliondock/http/receive_budget.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace dandeliondock::testing {
namespace {

constexpr std::uint64_t kilobyte = 1'000;
constexpr ReceiveLimits limits{ByteCount(100 * kilobyte), ConnectionCount(50)};
const MonotonicTime start = MonotonicTime(std::chrono::hours(1));
const MonotonicTime later = start + Seconds(2);

HolderId addHolder(ReceiveBudget &budget, HolderActivity activity, std::uint64_t bytes, MonotonicTime progressAt)
{
    const HolderId id = budget.add(start);
    budget.record(id, {activity, ByteCount(bytes), start});
    budget.record(id, {activity, ByteCount(bytes), progressAt});
    return id;
}

std::vector<HolderId> shedIds(ReceiveBudget &budget, MonotonicTime now)
{
    std::vector<HolderId> ids;
    for (const ShedHolder &holder : budget.shed(now))
        ids.push_back(holder.id);
    return ids;
}

} // namespace

// Guards against a limit that a single legal request meets, or one that the memory of an instance cannot carry.
TEST_CASE("the default limits admit the largest legal body and leave room in the memory", "[http][receive_budget]")
{
    constexpr std::uint64_t largestBody = 67'108'864;
    const ReceiveLimits defaults = receiveLimitsFor(ByteCount(160'000'000), DescriptorCount(4'100));
    CHECK(defaults.memory.value() > largestBody + 10'000'000);
    CHECK(defaults.memory.value() < 110'000'000);
    CHECK(defaults.connections == ConnectionCount(3'900));
    CHECK(receiveLimitsFor(ByteCount(64'000'000), DescriptorCount(256)).connections == ConnectionCount(56));
}

// Guards against a response that is kept although the account has no room for it, or refused although it has.
TEST_CASE("bytes fit up to the limit of the memory, with those that are held and charged", "[http][receive_budget]")
{
    ReceiveBudget budget(limits);
    addHolder(budget, HolderActivity::Receiving, 30 * kilobyte, start);
    budget.charge(ByteCount(50 * kilobyte));
    CHECK(budget.fits(ByteCount(20 * kilobyte)));
    CHECK_FALSE(budget.fits(ByteCount(20 * kilobyte + 1)));
    CHECK_FALSE(budget.isExceeded());
}

// Guards against ordinary callers that pay for clients which stall just short of the end of their bodies.
TEST_CASE("stalled senders are shed before slow ones, slow ones before others, large before small",
          "[http][receive_budget]")
{
    ReceiveBudget budget(limits);
    const HolderId progressing = addHolder(budget, HolderActivity::Receiving, 200 * kilobyte, later);
    const HolderId slow = addHolder(budget, HolderActivity::Receiving, 20 * kilobyte, later);
    const HolderId stalledSmall = addHolder(budget, HolderActivity::Receiving, 10 * kilobyte, start);
    const HolderId stalledLarge = addHolder(budget, HolderActivity::Receiving, 30 * kilobyte, start);
    REQUIRE(budget.isExceeded());
    CHECK(shedIds(budget, later) == std::vector<HolderId>{stalledLarge, stalledSmall, slow, progressing});
    CHECK_FALSE(budget.isExceeded());
}

// Guards against a large upload in progress that is refused although closing a stalled sender is enough.
TEST_CASE("no more connections are shed than the limit requires", "[http][receive_budget]")
{
    ReceiveBudget budget(limits);
    addHolder(budget, HolderActivity::Receiving, 80 * kilobyte, later);
    const HolderId stalled = addHolder(budget, HolderActivity::Receiving, 21 * kilobyte, start);
    addHolder(budget, HolderActivity::Receiving, 5 * kilobyte, start);
    CHECK(shedIds(budget, later) == std::vector<HolderId>{stalled});
}

// Guards against executed work that is lost while a request that was not passed on could be refused.
TEST_CASE("requests that are received are shed before responses, unless the reader stalls", "[http][receive_budget]")
{
    ReceiveBudget budget(limits);
    const HolderId writing = addHolder(budget, HolderActivity::Writing, 60 * kilobyte, later);
    const HolderId unread = addHolder(budget, HolderActivity::Writing, 50 * kilobyte, start);
    const HolderId receiving = addHolder(budget, HolderActivity::Receiving, 180 * kilobyte, later);
    CHECK(shedIds(budget, later) == std::vector<HolderId>{unread, receiving});
    CHECK(budget.held() == ByteCount(60 * kilobyte));
    static_cast<void>(writing);
}

// Guards against a complete request that is refused although a target may be working on it.
TEST_CASE("complete requests are never shed but keep further ones out", "[http][receive_budget]")
{
    ReceiveBudget budget(limits);
    const HolderId handling = addHolder(budget, HolderActivity::Handling, 4 * kilobyte, start);
    budget.charge(ByteCount(99 * kilobyte));
    CHECK(budget.isExceeded());
    CHECK(budget.shed(later).empty());
    const HolderId next = addHolder(budget, HolderActivity::Receiving, 1 * kilobyte, later);
    CHECK(shedIds(budget, later) == std::vector<HolderId>{next});
    budget.release(ByteCount(99 * kilobyte));
    CHECK_FALSE(budget.isExceeded());
    budget.remove(handling);
    budget.remove(next);
    CHECK(budget.held() == ByteCount(0));
    CHECK(budget.connections() == ConnectionCount(0));
}

// Guards against strangers that hold all descriptors with connections on which they send nothing.
TEST_CASE("idle connections without a request are closed before others, the longest idle first",
          "[http][receive_budget]")
{
    ReceiveBudget budget({limits.memory, ConnectionCount(3)});
    const HolderId caller = budget.add(start);
    budget.record(caller, {HolderActivity::Handling, connectionOverhead, start});
    budget.record(caller, {HolderActivity::Idle, connectionOverhead, start});
    const HolderId stranger = budget.add(start + Seconds(1));
    const HolderId working = addHolder(budget, HolderActivity::Handling, 1, start);
    CHECK_FALSE(budget.isExceeded());
    const HolderId newest = budget.add(later);
    REQUIRE(budget.isExceeded());
    CHECK(shedIds(budget, later) == std::vector<HolderId>{stranger});
    const HolderId another = budget.add(later + Milliseconds(1));
    CHECK(shedIds(budget, later) == std::vector<HolderId>{newest});
    static_cast<void>(working);
    static_cast<void>(another);
}

// Guards against chunks whose framing costs more than their contents.
TEST_CASE("very small chunks are out of proportion, moderate ones and short bodies are not", "[http][receive_budget]")
{
    constexpr std::uint64_t largeBody = 1'000'000;
    CHECK(isFramingExcessive(ByteCount(6 * largeBody), ByteCount(largeBody))); // chunks of one byte
    CHECK_FALSE(isFramingExcessive(ByteCount(6 * 10'000), ByteCount(10'000)));
    CHECK_FALSE(isFramingExcessive(ByteCount(largeBody / 16 * 22), ByteCount(largeBody))); // chunks of 16 bytes
}

// Guards against an account that drifts, or bytes above the limit that are not complete requests or work.
TEST_CASE("after shedding, the limits are exceeded only by what is never shed", "[http][receive_budget]")
{
    const auto property = [] {
        ReceiveBudget budget(limits);
        std::vector<std::optional<HolderStatus>> expected;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 4), rc::gen::inRange(0, 60), rc::gen::inRange(0, 7), rc::gen::inRange(0, 60'000)));
        MonotonicTime now = start;
        for (const auto &[kind, place, activity, bytes] : steps) {
            now += Milliseconds(100);
            const auto index = static_cast<std::size_t>(place);
            const bool isKnown = index < expected.size() && expected[index];
            if (kind == 0) {
                const HolderId id = budget.add(now);
                if (expected.size() <= id.value())
                    expected.resize(id.value() + 1);
                RC_ASSERT(!expected[id.value()]);
                expected[id.value()] = HolderStatus{HolderActivity::Idle, connectionOverhead, now};
            } else if (kind == 1 && isKnown) {
                expected[index].reset();
                budget.remove(HolderId(index));
            } else if (isKnown) {
                expected[index] = {static_cast<HolderActivity>(activity), ByteCount(static_cast<std::uint64_t>(bytes)),
                                   now};
                budget.record(HolderId(index), *expected[index]);
            }
            for (const ShedHolder &holder : budget.shed(now)) {
                RC_ASSERT(holder.status.activity != HolderActivity::Handling);
                expected[holder.id.value()].reset();
                budget.remove(holder.id);
            }
            std::uint64_t total = 0;
            bool isOnlyUnsheddable = true;
            for (const auto &status : expected) {
                if (!status)
                    continue;
                total += status->bytes.value();
                isOnlyUnsheddable =
                        isOnlyUnsheddable
                        && (status->activity == HolderActivity::Handling || status->activity == HolderActivity::Idle
                            || status->activity == HolderActivity::Closing);
            }
            RC_ASSERT(budget.held() == ByteCount(total));
            RC_ASSERT(total <= limits.memory.value() || isOnlyUnsheddable);
        }
    };
    CHECK(rc::check("bytes and shedding", property));
}

} // namespace dandeliondock::testing
