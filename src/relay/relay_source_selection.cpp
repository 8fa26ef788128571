#include <dandeliondock/relay/relay_protocol.h>
#include <dandeliondock/relay/relay_source_selection.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr std::size_t maxReaderDoublings = 16; // 524,288 proxies in a region

RelaySource peerSource(const Address &peer)
{
    return {RelaySource::Kind::Peer, peer};
}

RelaySource platformSource()
{
    return {RelaySource::Kind::Platform, Address()};
}

} // namespace

void RelaySourceSelection::setPeers(std::vector<RelayPeer> peers)
{
    m_peers = std::move(peers);
}

bool RelaySourceSelection::isLargeFleet() const
{
    return m_peers.size() >= largeFleetThreshold;
}

RelaySource RelaySourceSelection::firstSource(bool isFull, MonotonicTime now) const
{
    return select(isFull, now);
}

RelaySource RelaySourceSelection::select(bool isFull, MonotonicTime now) const
{
    // A full table is long and many proxies read it at the same time, so after a failure another peer is called for it
    // before the platform.
    if (isFull ? !isLargeFleet() : now < m_platformPreferredUntil)
        return platformSource();
    std::vector<RelayPeer> available = m_peers;
    std::erase_if(available, [this, now](const RelayPeer &peer) { return !m_health.isAvailable(peer.address, now); });
    const std::optional<Address> parent = relayParent(m_self, available);
    return parent ? peerSource(*parent) : platformSource();
}

bool RelaySourceSelection::isPlatformNext(bool isFull, MonotonicTime now) const
{
    return isFull ? m_fullReadFailures >= maxFullReadAttempts : mayReadPlatform(now);
}

RelaySource RelaySourceSelection::sourceWhenOverdue(const RelayReadProgress &read, MonotonicTime now)
{
    if (read.isFull)
        ++m_fullReadFailures;
    else if (read.calledSources >= maxChangeSources)
        return {};
    return isPlatformNext(read.isFull, now) ? platformSource() : select(read.isFull, now);
}

RelaySource RelaySourceSelection::sourceAfterFailure(const RelayReadProgress &read, MonotonicTime now)
{
    if (read.isFull)
        ++m_fullReadFailures;
    return isPlatformNext(read.isFull, now) && !read.hasCalledPlatform ? platformSource() : RelaySource();
}

std::optional<Address> RelaySourceSelection::peerToProbe(MonotonicTime now) const
{
    if (!m_health.hasUnresponsivePeers())
        return std::nullopt;
    std::vector<RelayPeer> peers = m_peers;
    std::erase_if(peers, [this, now](const RelayPeer &peer) {
        return !m_health.isAvailable(peer.address, now) && !m_health.isProbeDue(peer.address, now);
    });
    const std::optional<Address> parent = relayParent(m_self, peers);
    return parent && m_health.isProbeDue(*parent, now) ? parent : std::nullopt;
}

// When many peers are lost at once, those that remain may all rank behind the number of readers, and it takes a call to
// find out that a peer is lost. The number of readers therefore doubles with each call that gets no response, until the
// proxies that remain read from the platform. Peers that respond, even without data, keep it low.
bool RelaySourceSelection::mayReadPlatform(MonotonicTime now) const
{
    if (!isLargeFleet())
        return true;
    const auto earlierPeers = std::count_if(m_peers.begin(), m_peers.end(), [this](const RelayPeer &peer) {
        return peer.region == m_self.region && peer.address < m_self.address && !m_health.isUnresponsive(peer.address);
    });
    const std::size_t doublings = std::min(m_health.unansweredCalls(now), maxReaderDoublings);
    return static_cast<std::size_t>(earlierPeers) < maxPlatformReaders << doublings;
}

std::size_t RelaySourceSelection::openProbeLimit(MonotonicTime) const
{
    return maxOpenConfirmationProbes;
}

std::vector<PeerExclusion> RelaySourceSelection::responseReceived(RelayCallId call, MonotonicTime now)
{
    return recorded(m_health.callSucceeded(call, now), now);
}

CopyAssessment RelaySourceSelection::copyReceived(RelayCallId call, Milliseconds age, bool isFull, MonotonicTime now)
{
    if (age > maxRelayedAge)
        return {false, recorded({m_health.callRejected(call, now)}, now)};
    if (isFull)
        m_fullReadFailures = 0;
    return {true, responseReceived(call, now)};
}

std::optional<PeerExclusion> RelaySourceSelection::copyMissing(RelayCallId call, MonotonicTime now)
{
    return responseInvalid(call, now);
}

PeerExclusion RelaySourceSelection::responseInvalid(RelayCallId call, MonotonicTime now)
{
    return recorded({m_health.callRejected(call, now)}, now).front();
}

PeerExclusion RelaySourceSelection::callFailed(RelayCallId call, MonotonicTime now)
{
    return recorded({m_health.callFailed(call, now)}, now).front();
}

std::vector<PeerExclusion> RelaySourceSelection::platformResponded(MonotonicTime sentAt, MonotonicTime now)
{
    return recorded(m_health.platformResponded(sentAt, now), now);
}

std::vector<PeerExclusion> RelaySourceSelection::recorded(std::vector<PeerExclusion> exclusions, MonotonicTime now)
{
    if (exclusions.empty())
        return exclusions;
    if (mayReadPlatform(now))
        m_platformPreferredUntil = now + platformFallbackTime;
    m_health.retain(m_peers);
    return exclusions;
}

} // namespace dandeliondock
