#include <dandeliondock/proxy/relay_peer_health.h>

#include <algorithm>

namespace dandeliondock {

RelayCallId RelayPeerHealth::callSent(const Address &peer, MonotonicTime now, MonotonicTime due)
{
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
    return exclude(endedCall.peer, endedCall.sentAt, now);
}

bool RelayPeerHealth::isAvailable(const Address &peer, MonotonicTime now) const
{
    return isEligible(peer, now) && std::none_of(m_calls.begin(), m_calls.end(), [&](const auto &item) {
               return item.second.peer == peer && item.second.due <= now;
           });
}

bool RelayPeerHealth::isEligible(const Address &peer, MonotonicTime now) const
{
    const auto exclusion = m_exclusions.find(peer);
    return exclusion == m_exclusions.end() || now >= exclusion->second.until;
}

std::vector<PeerExclusion> RelayPeerHealth::excludeUnresponsive(MonotonicTime sentAt, const Address &respondingPeer,
                                                                MonotonicTime now)
{
    std::vector<PeerExclusion> exclusions;
    for (const auto &[id, call] : m_calls) {
        if (call.peer == respondingPeer || sentAt < call.due || !isEligible(call.peer, now))
            continue;
        exclusions.push_back(exclude(call.peer, call.sentAt, now));
    }
    return exclusions;
}

PeerExclusion RelayPeerHealth::exclude(const Address &peer, MonotonicTime sentAt, MonotonicTime now)
{
    Exclusion &entry = m_exclusions[peer];
    if (now >= entry.until) {
        entry.duration = std::clamp(entry.duration * 2, initialPeerExclusion, maxPeerExclusion);
        entry.until = now + entry.duration;
    }
    return {peer, entry.duration, std::chrono::duration_cast<Milliseconds>(now - sentAt)};
}

} // namespace dandeliondock
