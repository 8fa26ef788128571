#include <dandeliondock/relay/relay_peer_health.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace dandeliondock {

namespace {

// Time for which a call without a response is kept as evidence. A full read is tried at several sources within it.
constexpr Milliseconds timedOutCallRetention{10'000};

} // namespace

RelayCallId RelayPeerHealth::callSent(const Address &peer, MonotonicTime now, MonotonicTime due)
{
    forgetOldCalls(now);
    const RelayCallId id(++m_lastCallId);
    m_calls[id] = {peer, now, due};
    return id;
}

std::vector<PeerExclusion> RelayPeerHealth::callSucceeded(RelayCallId call, MonotonicTime now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return {};
    const Call endedCall = found->second;
    m_calls.erase(found);
    m_exclusions.erase(endedCall.peer);
    std::erase_if(m_calls, [&endedCall](const auto &item) {
        return item.second.peer == endedCall.peer && item.second.hasTimedOut;
    });
    recordResponse(now);
    return excludeUnresponsive(endedCall.sentAt, endedCall.peer, now);
}

std::vector<PeerExclusion> RelayPeerHealth::platformResponded(MonotonicTime sentAt, MonotonicTime now)
{
    return excludeUnresponsive(sentAt, Address(), now);
}

PeerExclusion RelayPeerHealth::callFailed(RelayCallId call, MonotonicTime now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return {};
    const Call endedCall = found->second;
    m_calls.erase(found);
    return exclude(endedCall, now);
}

PeerExclusion RelayPeerHealth::callRejected(RelayCallId call, MonotonicTime now)
{
    recordResponse(now);
    PeerExclusion exclusion = callFailed(call, now);
    if (const auto entry = m_exclusions.find(exclusion.address); entry != m_exclusions.end())
        entry->second.isUnresponsive = false;
    return exclusion;
}

void RelayPeerHealth::callTimedOut(RelayCallId call, MonotonicTime now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    found->second.hasTimedOut = true;
    if (found->second.sentAt >= m_lastResponseAt)
        ++m_timedOutCalls;
    if (isUnresponsive(found->second.peer)) {
        exclude(found->second, now);
        m_calls.erase(found);
    }
}

void RelayPeerHealth::recordResponse(MonotonicTime now)
{
    m_lastResponseAt = now;
    m_timedOutCalls = 0;
}

void RelayPeerHealth::forgetOldCalls(MonotonicTime now)
{
    std::erase_if(m_calls, [now](const auto &item) {
        return item.second.hasTimedOut && now - item.second.due > timedOutCallRetention;
    });
}

bool RelayPeerHealth::isAvailable(const Address &peer, MonotonicTime now) const
{
    return isEligible(peer, now) && std::none_of(m_calls.begin(), m_calls.end(), [&](const auto &item) {
               return item.second.peer == peer && item.second.due <= now && !item.second.hasTimedOut;
           });
}

std::optional<Address> RelayPeerHealth::peerOf(RelayCallId call) const
{
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? std::nullopt : std::optional(found->second.peer);
}

bool RelayPeerHealth::isUnresponsive(const Address &peer) const
{
    const auto exclusion = m_exclusions.find(peer);
    return exclusion != m_exclusions.end() && exclusion->second.isUnresponsive;
}

bool RelayPeerHealth::hasUnresponsivePeers() const
{
    return std::any_of(m_exclusions.begin(), m_exclusions.end(),
                       [](const auto &item) { return item.second.isUnresponsive; });
}

bool RelayPeerHealth::isProbeDue(const Address &peer, MonotonicTime now) const
{
    const auto exclusion = m_exclusions.find(peer);
    return exclusion != m_exclusions.end() && exclusion->second.isUnresponsive && now >= exclusion->second.until
           && std::none_of(m_calls.begin(), m_calls.end(),
                           [&](const auto &item) { return item.second.peer == peer && !item.second.hasTimedOut; });
}

std::size_t RelayPeerHealth::unansweredCalls(MonotonicTime now) const
{
    const auto overdueCalls = std::count_if(m_calls.begin(), m_calls.end(), [&](const auto &item) {
        return item.second.due <= now && !item.second.hasTimedOut && item.second.sentAt >= m_lastResponseAt;
    });
    return m_timedOutCalls + static_cast<std::size_t>(overdueCalls);
}

void RelayPeerHealth::retain(const std::vector<RelayPeer> &peers)
{
    absl::flat_hash_set<Address> known;
    for (const RelayPeer &peer : peers)
        known.insert(peer.address);
    absl::erase_if(m_exclusions, [&known](const auto &item) { return !known.contains(item.first); });
}

bool RelayPeerHealth::isEligible(const Address &peer, MonotonicTime now) const
{
    const auto exclusion = m_exclusions.find(peer);
    return exclusion == m_exclusions.end() || (!exclusion->second.isUnresponsive && now >= exclusion->second.until);
}

std::vector<PeerExclusion> RelayPeerHealth::excludeUnresponsive(MonotonicTime sentAt, const Address &respondingPeer,
                                                                MonotonicTime now)
{
    std::vector<PeerExclusion> exclusions;
    for (const auto &[id, call] : m_calls) {
        if (call.peer == respondingPeer || sentAt < call.due || !isEligible(call.peer, now))
            continue;
        exclusions.push_back(exclude(call, now));
        m_exclusions[call.peer].isUnresponsive = true;
    }
    return exclusions;
}

PeerExclusion RelayPeerHealth::exclude(const Call &call, MonotonicTime now)
{
    Exclusion &entry = m_exclusions[call.peer];
    if (now >= entry.until) {
        entry.duration = std::clamp(entry.duration * 2, initialPeerExclusion, maxPeerExclusion);
        entry.until = now + entry.duration;
    }
    return {call.peer, entry.duration, std::chrono::duration_cast<Milliseconds>(now - call.sentAt)};
}

} // namespace dandeliondock
