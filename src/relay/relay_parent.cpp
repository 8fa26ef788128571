#include <dandeliondock/relay/relay_parent.h>

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
        const auto parent =
                earlierAddresses.begin() + static_cast<std::ptrdiff_t>((earlierAddresses.size() - 1) / relayFanOut);
        std::nth_element(earlierAddresses.begin(), parent, earlierAddresses.end());
        return *parent;
    }
    return firstOfLowerRegions ? std::optional(firstOfLowerRegions->address) : std::nullopt;
}

} // namespace dandeliondock
