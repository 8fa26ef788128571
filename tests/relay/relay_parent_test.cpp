#include <dandeliondock/relay/relay_parent.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>
#include <vector>

namespace dandeliondock {
namespace {

std::vector<RelayPeer> makePeers(int count)
{
    std::vector<RelayPeer> peers;
    peers.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        peers.push_back({RegionName(std::string(1, static_cast<char>('a' + index % 3))),
                         Address(absl::StrCat("10.0.0.", index, ":1"))});
    return peers;
}

} // namespace

// Guards against a cycle of proxies that read from each other, which a change of the platform never reaches.
TEST_CASE("the relay tree has no cycle when the proxies know different sets of peers", "[relay]")
{
    rc::prop("the chain of parents ends at a proxy that reads from the platform", [] {
        const std::vector<RelayPeer> peers = makePeers(*rc::gen::inRange(1, 24));
        std::map<Address, std::optional<Address>> parents;
        for (const RelayPeer &self : peers) {
            std::vector<RelayPeer> known;
            for (const RelayPeer &peer : peers) {
                if (*rc::gen::arbitrary<bool>())
                    known.push_back(peer);
            }
            parents[self.address] = relayParent(self, known);
        }
        for (const RelayPeer &self : peers) {
            std::size_t steps = 0;
            for (auto parent = parents[self.address]; parent; parent = parents[*parent])
                RC_ASSERT(++steps <= peers.size());
        }
    });
}

// Guards against several proxies of the first region that read from the platform, and against a proxy of the first
// region whose parent is in another region because the rows of its own region have not arrived yet.
TEST_CASE("one proxy reads from the platform, and one of each further region has its parent in the first region",
          "[relay]")
{
    const std::vector<RelayPeer> peers = makePeers(60);
    std::size_t platformReaders = 0;
    std::size_t crossRegionLinks = 0;
    std::map<Address, std::size_t> childCounts;
    for (const RelayPeer &self : peers) {
        const auto parent = relayParent(self, peers);
        if (!parent) {
            ++platformReaders;
            continue;
        }
        CHECK(++childCounts[*parent] <= relayFanOut + 2);
        for (const RelayPeer &peer : peers)
            crossRegionLinks += peer.address == *parent && peer.region != self.region ? 1 : 0;
    }
    CHECK(platformReaders == 1);
    CHECK(crossRegionLinks == 2);
    CHECK_FALSE(relayParent({RegionName("a"), Address("10.0.0.9:1")}, {{RegionName("b"), Address("10.0.0.1:1")}}));
}

} // namespace dandeliondock
