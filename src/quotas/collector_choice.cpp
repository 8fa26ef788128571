#include <dandeliondock/quotas/collector_choice.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

void CollectorChoice::setPeers(QuotaPeers peers)
{
    std::sort(peers.begin(), peers.end());
    m_peers = std::move(peers);
}

void CollectorChoice::recordFailure(const Address &address, MonotonicTime now)
{
    absl::erase_if(m_failures, [now](const auto &entry) { return now - entry.second > collectorExclusion; });
    m_failures[address] = now;
}

bool CollectorChoice::isExcluded(const Address &address, MonotonicTime now) const
{
    const auto failure = m_failures.find(address);
    return failure != m_failures.end() && now - failure->second <= collectorExclusion;
}

std::optional<Address> CollectorChoice::collectorOf(const DataCentreName &dataCentre, MonotonicTime now) const
{
    for (const QuotaPeer &peer : m_peers) {
        if (peer.dataCentre == dataCentre && !isExcluded(peer.address, now))
            return peer.address;
    }
    return std::nullopt;
}

bool CollectorChoice::isFirst(const QuotaPeer &self) const
{
    const auto first = std::find_if(m_peers.begin(), m_peers.end(),
                                    [&](const QuotaPeer &peer) { return peer.dataCentre == self.dataCentre; });
    return first == m_peers.end() || first->address == self.address;
}

const QuotaPeer *CollectorChoice::candidate(const DataCentreName &dataCentre, std::size_t offset) const
{
    const auto isIn = [&](const QuotaPeer &peer) { return peer.dataCentre == dataCentre; };
    const auto begin = std::find_if(m_peers.begin(), m_peers.end(), isIn);
    const auto end = std::find_if_not(begin, m_peers.end(), isIn);
    const auto candidates = std::min(exchangeCandidates, static_cast<std::size_t>(end - begin));
    if (offset >= candidates)
        return nullptr;
    const auto failures = m_exchangeFailures.find(dataCentre);
    const std::size_t skipped = failures == m_exchangeFailures.end() ? 0 : failures->second;
    return &*(begin + static_cast<std::ptrdiff_t>((skipped + offset) % candidates));
}

QuotaPeers CollectorChoice::exchangePartners(const QuotaPeer &self) const
{
    const bool isSelfFirst = isFirst(self);
    const std::size_t called = isSelfFirst ? 1 : 2;
    QuotaPeers partners;
    const DataCentreName *previous = nullptr;
    for (const QuotaPeer &peer : m_peers) {
        if (previous && *previous == peer.dataCentre)
            continue;
        previous = &peer.dataCentre;
        if (isSelfFirst && peer.dataCentre <= self.dataCentre)
            continue;
        for (std::size_t offset = 0; offset < called; ++offset) {
            const QuotaPeer *partner = candidate(peer.dataCentre, offset);
            if (partner && *partner != self)
                partners.push_back(*partner);
        }
    }
    return partners;
}

void CollectorChoice::recordExchangeFailure(const QuotaPeer &partner)
{
    const QuotaPeer *first = candidate(partner.dataCentre, 0);
    if (first && *first == partner)
        ++m_exchangeFailures[partner.dataCentre];
}

} // namespace dandeliondock
