#include <dandeliondock/proxy/relay_parent.h>

#include <algorithm>

namespace dandeliondock {

std::optional<Address> relayParent(const RelayPeer &self, const std::vector<RelayPeer> &peers)
{
    std::vector<Address> earlierAddresses;
    std::optional<RelayPeer> firstOfLowerRegions;
    for (const RelayPeer &peer : peers) {
        if (peer.region == self.region && peer.address < self.address)
            earlierAddresses.push_back(peer.address);
        else if (peer.region < self.region && (!firstOfLowerRegions || peer < *firstOfLowerRegions))
            firstOfLowerRegions = peer;
    }
    if (!earlierAddresses.empty()) {
        std::sort(earlierAddresses.begin(), earlierAddresses.end());
        return earlierAddresses[(earlierAddresses.size() - 1) / relayFanOut];
    }
    return firstOfLowerRegions ? std::optional(firstOfLowerRegions->address) : std::nullopt;
}

} // namespace dandeliondock
