#include <dandeliondock/proxy/relay_parent.h>

#include <algorithm>

namespace dandeliondock {

std::optional<Address> relayParent(const RelayPeer &self, const std::vector<RelayPeer> &doors)
{
    std::vector<Address> before;
    std::optional<RelayPeer> first;
    for (const RelayPeer &item : doors) {
        if (item.region == self.region && item.address < self.address)
            before.push_back(item.address);
        else if (item.region < self.region && (!first || item < *first))
            first = item;
    }
    if (!before.empty()) {
        std::sort(before.begin(), before.end());
        return before[(before.size() - 1) / relayFanOut];
    }
    return first ? std::optional(first->address) : std::nullopt;
}

} // namespace dandeliondock
