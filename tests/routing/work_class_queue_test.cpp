#include <dandeliondock/routing/work_class_queue.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

namespace dandeliondock {
namespace {

constexpr MonotonicTime farDeadline{Seconds(100)};

Admission offerTo(WorkClassQueue &queue, std::uint64_t id, WorkClass workClass)
{
    return queue.admit(WaiterId(id), workClass, farDeadline, MonotonicTime{}, {});
}

} // namespace

// Guards against an overload that refuses critical requests while deferrable ones wait.
TEST_CASE("under overload the lowest work class is refused first", "[routing]")
{
    rc::prop("no request is refused while one of a lower class waits, and higher classes are served first", [] {
        WorkClassQueue queue(8);
        std::map<WaiterId, WorkClass> waiting;
        std::uint64_t next = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        for (const int step : steps) {
            if (step == 3) { // serves the first request
                const auto order = queue.order();
                if (!order.empty()) {
                    queue.withdraw(order.front());
                    waiting.erase(order.front());
                }
                continue;
            }
            const auto workClass = static_cast<WorkClass>(step);
            const Admission admission = offerTo(queue, ++next, workClass);
            if (admission.displaced) {
                RC_ASSERT(waiting.at(*admission.displaced) > workClass);
                waiting.erase(*admission.displaced);
            }
            if (admission.verdict == AdmissionVerdict::Queued)
                waiting[WaiterId(next)] = workClass;
            else
                RC_ASSERT(std::none_of(waiting.begin(), waiting.end(),
                                       [workClass](const auto &item) { return item.second > workClass; }));
            RC_ASSERT(queue.size() <= 8U);
            RC_ASSERT(queue.size() == waiting.size());
            const auto order = queue.order();
            RC_ASSERT(std::is_sorted(order.begin(), order.end(), [&waiting](WaiterId left, WaiterId right) {
                return waiting.at(left) < waiting.at(right);
            }));
        }
    });
}

// Guards against deferrable requests that fill the queue before a critical one arrives.
TEST_CASE("deferrable work leaves room in the queue for critical work", "[routing]")
{
    WorkClassQueue queue(8);
    for (std::uint64_t id = 1; id <= 4; ++id)
        CHECK(offerTo(queue, id, WorkClass::Deferrable).verdict == AdmissionVerdict::Queued);
    CHECK(offerTo(queue, 5, WorkClass::Deferrable).verdict == AdmissionVerdict::Overloaded);
    CHECK_FALSE(offerTo(queue, 6, WorkClass::Critical).displaced.has_value());
    CHECK(queue.order().front() == WaiterId(6));
}

// Guards against a request that waits although its deadline will pass first.
TEST_CASE("a request whose deadline cannot be met is refused at once", "[routing]")
{
    WorkClassQueue queue(8);
    const DrainEstimate drain{Milliseconds(10), Milliseconds(20)};
    const auto admit = [&](std::uint64_t id, int deadline) {
        return queue
                .admit(WaiterId(id), WorkClass::Critical, MonotonicTime(Milliseconds(deadline)), MonotonicTime{}, drain)
                .verdict;
    };
    CHECK(admit(1, 29) == AdmissionVerdict::DeadlineUnmeetable);
    CHECK(admit(2, 30) == AdmissionVerdict::Queued);
    CHECK(admit(3, 30) == AdmissionVerdict::DeadlineUnmeetable);
    CHECK(admit(4, 40) == AdmissionVerdict::Queued);
}

} // namespace dandeliondock
