#include <dandeliondock/relay/relay_protocol.h>
#include <dandeliondock/relay/relay_source_selection.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
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
    const bool isLarge = isLargeFleet();
    const bool isReader = mayReadPlatform(now);
    const bool isPlatformDue =
            isReader && (!isLarge || (now >= m_platformAvoidedUntil && m_fullPlatformReads < maxFullPlatformReads));
    // A full table is long and many proxies read it at the same time, so in a large fleet a peer is called for it
    // before the platform.
    const bool isPlatformPreferred = isFull ? !isLarge : now < m_platformPreferredUntil;
    const bool arePeersSilent = isLarge && m_health.unansweredCalls(now) >= maxChangeSources;
    if (isPlatformDue && (isPlatformPreferred || arePeersSilent))
        return platformSource();
    const auto parent = relayParent(m_self, candidates(CopyAge::Any, isReader, now));
    if (parent && hasCopy(*parent, CopyAge::Recent, now))
        return peerSource(*parent);
    const auto recentParent = relayParent(m_self, candidates(CopyAge::Recent, isReader, now));
    if (isPlatformDue)
        return recentParent ? peerSource(*recentParent) : platformSource();
    if (const auto reader = recentReader(now))
        return peerSource(*reader);
    if (recentParent)
        return peerSource(*recentParent);
    if (parent)
        return peerSource(*parent);
    return isReader && m_fullPlatformReads < maxFullPlatformReads ? platformSource() : RelaySource();
}

std::vector<RelayPeer> RelaySourceSelection::readers() const
{
    std::map<std::pair<RegionName, DataCentreName>, std::vector<RelayPeer>> byDataCentre;
    for (const RelayPeer &peer : m_peers) {
        if (peer.address == m_self.address)
            continue;
        std::vector<RelayPeer> &first = byDataCentre[{peer.region, peer.dataCentre}];
        first.insert(std::upper_bound(first.begin(), first.end(), peer), peer);
        if (first.size() > maxPlatformReaders)
            first.pop_back();
    }
    std::vector<RelayPeer> all;
    for (const auto &[place, first] : byDataCentre)
        all.insert(all.end(), first.begin(), first.end());
    return all;
}

// The proxies of the region begin with different readers, so that they spread over those with a recent copy.
std::optional<Address> RelaySourceSelection::recentReader(MonotonicTime now) const
{
    const std::size_t ownRank = rank();
    if (!isLargeFleet() || ownRank >= maxReaderChildren)
        return std::nullopt;
    std::vector<RelayPeer> known = readers();
    std::erase_if(known, [this, now](const RelayPeer &peer) {
        return peer.region != m_self.region || !m_health.isAvailable(peer.address, now)
               || !hasCopy(peer.address, CopyAge::Recent, now);
    });
    return known.empty() ? std::nullopt : std::optional(known[ownRank % known.size()].address);
}

std::size_t RelaySourceSelection::rank() const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [this](const RelayPeer &peer) {
        return peer.region == m_self.region && isBefore(peer);
    }));
}

bool RelaySourceSelection::isBefore(const RelayPeer &peer) const
{
    return peer.region != m_self.region ? peer.region < m_self.region : peer.address < m_self.address;
}

std::vector<RelayPeer> RelaySourceSelection::candidates(CopyAge age, bool mayLeaveRegion, MonotonicTime now) const
{
    std::vector<RelayPeer> peers;
    if (isLargeFleet()) {
        std::copy_if(m_peers.begin(), m_peers.end(), std::back_inserter(peers),
                     [this](const RelayPeer &peer) { return peer.region == m_self.region; });
        if (mayLeaveRegion) {
            // Those that read from the platform themselves have the latest copies of their region.
            const std::vector<RelayPeer> all = readers();
            std::copy_if(all.begin(), all.end(), std::back_inserter(peers),
                         [this](const RelayPeer &peer) { return peer.region != m_self.region; });
        }
    } else {
        peers = m_peers;
    }
    std::erase_if(peers, [this, age, now](const RelayPeer &peer) {
        return !m_health.isAvailable(peer.address, now) || !hasCopy(peer.address, age, now);
    });
    return peers;
}

bool RelaySourceSelection::hasCopy(const Address &peer, CopyAge age, MonotonicTime now) const
{
    const auto copies = m_copies.find(peer);
    if (copies == m_copies.end())
        return true;
    return now >= copies->second.missingUntil && (age == CopyAge::Any || now >= copies->second.outdatedUntil);
}

RelaySource RelaySourceSelection::nextSource(const RelayReadProgress &read, MonotonicTime now) const
{
    const RelaySource next = select(read.isFull, now);
    const bool mayCall = next.kind == RelaySource::Kind::Platform
                                 ? !read.hasCalledPlatform
                                 : read.calledSources < (read.isFull ? maxFullReadSources : maxChangeSources);
    return mayCall ? next : RelaySource();
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
// proxies that remain read from the platform. Peers that respond, even without a copy, keep it low.
bool RelaySourceSelection::mayReadPlatform(MonotonicTime now) const
{
    if (!isLargeFleet())
        return true;
    std::size_t earlierInDataCentre = 0;
    bool isAnyAvailable = false;
    for (const RelayPeer &peer : m_peers) {
        if (peer.region != m_self.region || !isBefore(peer))
            continue;
        if (peer.dataCentre == m_self.dataCentre && !m_health.isUnresponsive(peer.address))
            ++earlierInDataCentre;
        isAnyAvailable = isAnyAvailable || m_health.isAvailable(peer.address, now);
    }
    const std::size_t doublings = std::min(m_health.unansweredCalls(now), maxReaderDoublings);
    return !isAnyAvailable || earlierInDataCentre < maxPlatformReaders << doublings;
}

std::size_t RelaySourceSelection::openProbeLimit(MonotonicTime now) const
{
    if (!isLargeFleet())
        return maxOpenConfirmationProbes;
    // A read that was sent just now confirms the copy as well as a probe would.
    const bool isReadExpected = now - m_platformCalledAt < platformRetryInterval;
    return mayReadPlatform(now) && !isReadExpected && m_fullPlatformReads < maxFullPlatformReads ? maxOpenProbesOfReader
                                                                                                 : 0;
}

void RelaySourceSelection::platformCalled(bool isFull, MonotonicTime now)
{
    m_platformCalledAt = now;
    if (isFull)
        ++m_fullPlatformReads;
}

void RelaySourceSelection::platformCallEnded(bool isFull)
{
    if (isFull)
        --m_fullPlatformReads;
}

std::vector<PeerExclusion> RelaySourceSelection::responseReceived(RelayCallId call, MonotonicTime now)
{
    return recorded(m_health.callSucceeded(call, now), now);
}

CopyAssessment RelaySourceSelection::copyReceived(RelayCallId call, Milliseconds age, MonotonicTime now)
{
    const std::optional<Address> peer = m_health.peerOf(call);
    CopyAssessment assessment{age <= maxRelayedAge, age, responseReceived(call, now)};
    if (!peer)
        return assessment;
    const bool isLater = std::any_of(m_peers.begin(), m_peers.end(), [this, &peer](const RelayPeer &known) {
        return known.address == *peer && !isBefore(known);
    });
    if (isLater)
        assessment.age = std::max(age, maxRelayedAge + Milliseconds(1));
    if (assessment.isRecent) {
        m_copies.erase(*peer);
    } else {
        m_copies[*peer] = {MonotonicTime(), now + outdatedCopyInterval};
        preferPlatform(now);
    }
    return assessment;
}

std::vector<PeerExclusion> RelaySourceSelection::copyMissing(RelayCallId call, MonotonicTime now)
{
    if (const std::optional<Address> peer = m_health.peerOf(call)) {
        m_copies[*peer].missingUntil = now + missingCopyInterval;
        // In a large fleet other peers have the copy, at a fraction of the bytes of the platform's response.
        if (!isLargeFleet())
            preferPlatform(now);
    }
    return responseReceived(call, now);
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

void RelaySourceSelection::preferPlatform(MonotonicTime now)
{
    if (mayReadPlatform(now))
        m_platformPreferredUntil = now + platformFallbackTime;
}

std::vector<PeerExclusion> RelaySourceSelection::recorded(std::vector<PeerExclusion> exclusions, MonotonicTime now)
{
    if (!exclusions.empty()) {
        preferPlatform(now);
        m_health.retain(m_peers);
        absl::erase_if(m_copies, [this](const auto &item) {
            return std::none_of(m_peers.begin(), m_peers.end(),
                                [&item](const RelayPeer &peer) { return peer.address == item.first; });
        });
    }
    return exclusions;
}

} // namespace dandeliondock
