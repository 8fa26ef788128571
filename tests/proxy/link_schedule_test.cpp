#include <dandeliondock/proxy/link_schedule.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <vector>

namespace dandeliondock {
namespace {

constexpr DataRate slowLink{1'000'000};
constexpr ByteCount file{90'000};

MonotonicTime at(Microseconds time)
{
    return MonotonicTime(Seconds(100) + time);
}

} // namespace

// Guards against a link whose queue delays short responses by seconds, and against one that idles while responses wait.
TEST_CASE("grants use the whole link and keep its backlog short", "[proxy]")
{
    rc::prop("transfers of any size", [] {
        LinkSchedule schedule(slowLink);
        const auto sizes = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::inRange<std::uint32_t>(maxShortResponse.value() + 1, 600'000)));
        std::map<TransferId, std::uint64_t> remaining;
        std::uint64_t total = 0;
        for (const std::uint32_t size : sizes) {
            const TransferId id = schedule.begin(ByteCount(size));
            remaining[id] = size;
            total += size;
            schedule.request(id);
        }
        Microseconds time{0};
        std::uint64_t granted = 0;
        while (!remaining.empty()) {
            const auto next = schedule.nextGrantAt();
            RC_ASSERT(next.has_value());
            time = std::max(time, *next - at(Microseconds(0)));
            const auto grant = schedule.grant(at(time));
            RC_ASSERT(grant.has_value());
            RC_ASSERT(grant->transfer == remaining.begin()->first);
            std::uint64_t &left = remaining.begin()->second;
            const std::uint64_t written = std::min(left, grant->bytes.value());
            granted += written;
            left -= written;
            const Microseconds ahead = schedule.transferTime(ByteCount(granted)) - time;
            RC_ASSERT(ahead <= maxLinkBacklog + schedule.transferTime(maxGrant) + Microseconds(1'000));
            if (left == 0) {
                schedule.end(grant->transfer);
                remaining.erase(remaining.begin());
            } else {
                schedule.request(grant->transfer);
            }
        }
        RC_ASSERT(time <= schedule.transferTime(ByteCount(total)) + Milliseconds(1));
    });
}

// Guards against a receiver that does not read and holds up the responses to all others.
TEST_CASE("a transfer whose connection takes no bytes does not hold up younger ones", "[proxy]")
{
    LinkSchedule schedule(slowLink);
    const TransferId blocked = schedule.begin(file);
    const TransferId younger = schedule.begin(file);
    schedule.request(younger);
    const auto grant = schedule.grant(at(Microseconds(0)));
    REQUIRE(grant.has_value());
    CHECK(grant->transfer == younger);
    schedule.request(blocked);
    schedule.request(younger);
    const auto next = schedule.grant(at(Seconds(1)));
    REQUIRE(next.has_value());
    CHECK(next->transfer == blocked);
    schedule.end(blocked);
    schedule.end(blocked);
    schedule.end(younger);
    CHECK_FALSE(schedule.nextGrantAt().has_value());
    CHECK(schedule.backlog(at(Seconds(2))) == Microseconds(0));
}

// Guards against targets that work for responses which their link delivers too late.
TEST_CASE("a long response is refused when what is ahead of it takes too much of its time", "[proxy]")
{
    LinkSchedule schedule(slowLink);
    const MonotonicTime now = at(Microseconds(0));
    const MonotonicTime deadline = now + Milliseconds(800);
    CHECK(schedule.admit(ByteCount(5'000'000), deadline, now).isAdmitted); // alone: nothing is gained by a refusal
    for (int index = 0; index < 3; ++index) {
        CHECK(schedule.admit(file, deadline, now).isAdmitted);
        schedule.reserve(file);
    }
    schedule.reserve(file);
    const LinkAdmission refused = schedule.admit(file, deadline, now);
    CHECK_FALSE(refused.isAdmitted);
    CHECK(refused.retryAfter == Milliseconds(50));
    CHECK(schedule.admit(maxShortResponse, deadline, now).isAdmitted);
    schedule.release(file);
    CHECK(schedule.admit(file, deadline, now).isAdmitted);
    CHECK_FALSE(schedule.admit(file, now - Milliseconds(1), now).isAdmitted);
}

// Guards against a machine without a known link rate that delays or refuses anything.
TEST_CASE("an unlimited link grants at once and refuses nothing", "[proxy]")
{
    LinkSchedule schedule{DataRate()};
    const MonotonicTime now = at(Microseconds(0));
    schedule.recordWritten(ByteCount(100'000'000), now);
    schedule.reserve(ByteCount(100'000'000));
    CHECK(schedule.backlog(now) == Microseconds(0));
    CHECK(schedule.admit(ByteCount(100'000'000), now, now).isAdmitted);
    const TransferId id = schedule.begin(file);
    schedule.request(id);
    CHECK(schedule.grant(now).has_value());
}

} // namespace dandeliondock
