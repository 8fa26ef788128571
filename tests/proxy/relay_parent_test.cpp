#include <dandeliondock/proxy/relay_parent.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>
#include <vector>

namespace dandeliondock {
namespace {

std::vector<RelayPeer> fleet(int count)
{
    std::vector<RelayPeer> doors;
    doors.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        doors.push_back({RegionName(std::string(1, static_cast<char>('a' + index % 3))),
                         Address(absl::StrCat("10.0.0.", index, ":1"))});
    return doors;
}

} // namespace

// Guards against proxies that follow each other in a circle, in which no change of the platform ever arrives.
TEST_CASE("no circle forms whatever each proxy knows of the others", "[proxy]")
{
    rc::prop("following leads to a proxy that reads from the platform", [] {
        const std::vector<RelayPeer> doors = fleet(*rc::gen::inRange(1, 24));
        std::map<Address, std::optional<Address>> parents;
        for (const RelayPeer &self : doors) {
            std::vector<RelayPeer> known;
            for (const RelayPeer &item : doors) {
                if (*rc::gen::arbitrary<bool>())
                    known.push_back(item);
            }
            parents[self.address] = relayParent(self, known);
        }
        for (const RelayPeer &self : doors) {
            std::size_t steps = 0;
            for (auto at = parents[self.address]; at; at = parents[*at])
                RC_ASSERT(++steps <= doors.size());
        }
    });
}

// Guards against a first region that reads from the platform more than once, or follows another region because its own
// rows have not arrived yet.
TEST_CASE("one proxy reads from the platform, and one of each further region follows the first region", "[proxy]")
{
    const std::vector<RelayPeer> doors = fleet(60);
    std::size_t readers = 0;
    std::size_t acrossRegions = 0;
    std::map<Address, std::size_t> followers;
    for (const RelayPeer &self : doors) {
        const auto parent = relayParent(self, doors);
        if (!parent) {
            ++readers;
            continue;
        }
        CHECK(++followers[*parent] <= relayFanOut + 2);
        for (const RelayPeer &item : doors)
            acrossRegions += item.address == *parent && item.region != self.region ? 1 : 0;
    }
    CHECK(readers == 1);
    CHECK(acrossRegions == 2);
    CHECK_FALSE(relayParent({RegionName("a"), Address("10.0.0.9:1")}, {{RegionName("b"), Address("10.0.0.1:1")}}));
}

} // namespace dandeliondock
