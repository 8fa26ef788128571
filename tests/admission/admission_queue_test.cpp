#include <dandeliondock/admission/admission_queue.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <tuple>
#include <vector>

namespace dandeliondock {
namespace {

const DrainRate oneSlot{1, Milliseconds(100), Milliseconds(0)};

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Seconds(100)) + Milliseconds(milliseconds);
}

RequestTerms terms(int softDeadline, int work, WorkClass workClass = WorkClass::Interactive)
{
    return {workClass, at(softDeadline), at(softDeadline), Milliseconds(work)};
}

} // namespace

// Guards against long work that keeps several short requests from a slot: a slot that is used by one request of 400 ms
// serves four of 100 ms.
TEST_CASE("of requests that cannot all be in time the one with the most work leaves", "[admission]")
{
    AdmissionQueue queue(16);
    CHECK(queue.admit(WaiterId(1), terms(600, 400), oneSlot, at(0)).isQueued);
    const QueueDecision decision = queue.admit(WaiterId(2), terms(610, 100), oneSlot, at(0));
    CHECK(decision.isQueued);
    CHECK(decision.displaced.empty());
    const QueueDecision shorter = queue.admit(WaiterId(3), terms(620, 100), oneSlot, at(0));
    CHECK(shorter.isQueued);
    CHECK(shorter.displaced == std::vector<WaiterId>{WaiterId(1)});
    CHECK_FALSE(queue.admit(WaiterId(4), terms(390, 300), oneSlot, at(0)).isQueued);
}

// Guards against requests that wait although those ahead of them leave no time, and are refused only at their deadline.
TEST_CASE("a request that an earlier deadline pushes back too far leaves at once", "[admission]")
{
    AdmissionQueue queue(16);
    CHECK(queue.admit(WaiterId(1), terms(200, 100), oneSlot, at(0)).isQueued);
    const QueueDecision decision = queue.admit(WaiterId(2), terms(250, 20, WorkClass::Critical), oneSlot, at(0));
    CHECK(decision.isQueued);
    CHECK(decision.displaced == std::vector<WaiterId>{WaiterId(1)});
}

// Guards against a request of a higher class that is displaced for lower ones because it needs more work.
TEST_CASE("a request of a higher class is never displaced for one of a lower class", "[admission]")
{
    rc::prop("arrivals of any class, work and deadline", [] {
        AdmissionQueue queue(6);
        std::map<WaiterId, WorkClass> waiting;
        std::uint64_t last = 0;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(1, 400), rc::gen::inRange(1, 2'000)));
        for (const auto &[workClassIndex, work, deadline] : steps) {
            const auto workClass = static_cast<WorkClass>(workClassIndex);
            const WaiterId id(++last);
            const QueueDecision decision = queue.admit(id, terms(deadline, work, workClass), oneSlot, at(0));
            for (const WaiterId displaced : decision.displaced) {
                RC_ASSERT(waiting.count(displaced) == 1U);
                RC_ASSERT(waiting[displaced] >= workClass);
                waiting.erase(displaced);
            }
            if (decision.isQueued)
                waiting[id] = workClass;
            RC_ASSERT(queue.size() == waiting.size());
        }
        WorkClass previous = WorkClass::Critical;
        while (const auto first = queue.takeFirst()) {
            RC_ASSERT(waiting[first->id] == first->workClass);
            RC_ASSERT(first->workClass >= previous);
            previous = first->workClass;
            waiting.erase(first->id);
        }
        RC_ASSERT(waiting.empty());
    });
}

// Guards against displacement because of the scatter of work times.
TEST_CASE("requests of nearly equal work do not displace each other", "[admission]")
{
    AdmissionQueue queue(16);
    CHECK(queue.admit(WaiterId(1), terms(220, 100), oneSlot, at(0)).isQueued);
    CHECK_FALSE(queue.admit(WaiterId(2), terms(230, 90), oneSlot, at(0)).isQueued);
    CHECK(queue.size() == 1);
}

TEST_CASE("the value of a response depends on its time", "[admission]")
{
    const RequestTerms request{WorkClass::Interactive, at(500), at(2'000), Milliseconds(100)};
    CHECK(responseValue(request, at(0)) == 1);
    CHECK(responseValue(request, at(450)) == lateResponseValue);
    CHECK(responseValue(request, at(1'950)) == 0);
    RequestTerms shorter = request;
    shorter.work = Milliseconds(50);
    CHECK(valuePerWork(shorter, at(0)) == Approx(2 * valuePerWork(request, at(0))));
}

} // namespace dandeliondock
