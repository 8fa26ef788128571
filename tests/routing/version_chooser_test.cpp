#include <dandeliondock/routing/rendezvous.h>
#include <dandeliondock/routing/version_chooser.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

namespace dandeliondock {
namespace {

Service ledgerService()
{
    Service service;
    service.name = ServiceName("ledger");
    service.version = VersionName("v2");
    return service;
}

VersionSplit versionSplit(std::uint32_t share, std::uint32_t targets)
{
    return {TicketNumber(1), VersionName("v1"), VersionName("v2"), Share(share), Share(targets)};
}

std::vector<TargetId> subsetOf(const NodeId &caller, std::vector<TargetId> targets, std::size_t size)
{
    std::sort(targets.begin(), targets.end(), [&caller](const TargetId &left, const TargetId &right) {
        return callerTargetRank(caller, left) < callerTargetRank(caller, right);
    });
    targets.resize(std::min(size, targets.size()));
    return targets;
}

std::vector<TargetId> makeTargets(int count)
{
    std::vector<TargetId> targets;
    for (int number = 0; number < count; ++number)
        targets.emplace_back("t" + std::to_string(number));
    return targets;
}

} // namespace

// Guards against a new version that receives more requests than its share.
TEST_CASE("the new version receives its share of the draws", "[routing]")
{
    rc::prop("of all 10,000 draws exactly the share chooses the new version", [] {
        const auto share = *rc::gen::inRange(0U, 10'001U);
        std::uint32_t newVersionCount = 0;
        for (std::uint64_t draw = 0; draw < 10'000; ++draw) {
            const VersionChoice choice =
                    chooseVersion(ledgerService(), versionSplit(share, 10'000), draw, std::nullopt);
            RC_ASSERT(choice.isNew == (choice.version.value() == "v2"));
            newVersionCount += choice.isNew ? 1 : 0;
        }
        RC_ASSERT(newVersionCount == share);
    });
}

// Guards against retries on a version that was rolled back.
TEST_CASE("a retry keeps its version only while that version receives requests", "[routing]")
{
    CHECK(chooseVersion(ledgerService(), versionSplit(100, 1'000), 9'999, true).isNew);
    CHECK_FALSE(chooseVersion(ledgerService(), versionSplit(100, 1'000), 0, false).isNew);
    CHECK_FALSE(chooseVersion(ledgerService(), versionSplit(0, 10'000), 0, true).isNew);
    CHECK_FALSE(chooseVersion(ledgerService(), versionSplit(100, 0), 0, true).isNew);
    CHECK(chooseVersion(ledgerService(), std::nullopt, 0, true).version.value() == "v2");
}

// Guards against a small share that uses every target of the new version.
TEST_CASE("the number of targets for a share is rounded up", "[routing]")
{
    CHECK(targetCountForShare(Share(0), 11) == 0);
    CHECK(targetCountForShare(Share(1), 11) == 1);
    CHECK(targetCountForShare(Share(2'000), 5) == 1);
    CHECK(targetCountForShare(Share(2'001), 5) == 2);
    CHECK(targetCountForShare(fullShare, 11) == 11);
}

// Guards against a removed target that changes the subsets of callers that did not use it.
TEST_CASE("removing a target changes only the subsets that contain it", "[routing]")
{
    rc::prop("the other targets of a subset stay in it", [] {
        const auto targets = makeTargets(*rc::gen::inRange(4, 40));
        const TargetId removed = targets.at(*rc::gen::inRange<std::size_t>(0, targets.size()));
        const NodeId caller("n" + std::to_string(*rc::gen::arbitrary<std::uint16_t>()));
        auto remaining = targets;
        remaining.erase(std::find(remaining.begin(), remaining.end(), removed));
        const auto before = subsetOf(caller, targets, 3);
        const auto after = subsetOf(caller, remaining, 3);
        for (const TargetId &target : before)
            RC_ASSERT(target == removed || std::find(after.begin(), after.end(), target) != after.end());
    });
}

// Guards against a hash that assigns many more callers to some targets than to others.
TEST_CASE("subsets distribute callers evenly over targets", "[routing]")
{
    const auto targets = makeTargets(11);
    std::map<TargetId, int> callers;
    for (int node = 0; node < 1'100; ++node) {
        for (const TargetId &target : subsetOf(NodeId("node-" + std::to_string(node)), targets, 3))
            ++callers[target];
    }
    for (const TargetId &target : targets) {
        CHECK(callers[target] > 240); // the mean is 300
        CHECK(callers[target] < 360);
    }
}

// Guards against a target that gets more connections than it supports although more targets could share them.
TEST_CASE("the subset size grows with the connections that targets support", "[routing]")
{
    CHECK(subsetSize(11, 1, 130) == 11);
    CHECK(subsetSize(11, 100, 130) == 7);
    CHECK(subsetSize(11, 25'000, 130) == minSubsetSize);
    CHECK(subsetSize(2, 25'000, 130) == 2);
}

} // namespace dandeliondock
