#include <dandeliondock/proxy/relay_peer_health.h>

#include <algorithm>

namespace dandeliondock {

RelayCallId RelayPeerHealth::callSent(const Address &door, MonotonicTime now, MonotonicTime due)
{
    const RelayCallId id(++m_lastCall);
    m_calls[id] = {door, now, due};
    return id;
}

std::vector<PeerExclusion> RelayPeerHealth::callSucceeded(RelayCallId call, MonotonicTime now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return {};
    const Call ended = found->second;
    m_calls.erase(found);
    m_distrusted.erase(ended.door);
    return passOverSilent(ended.askedAt, ended.door, now);
}

std::vector<PeerExclusion> RelayPeerHealth::platformResponded(MonotonicTime askedAt, MonotonicTime now)
{
    return passOverSilent(askedAt, Address(), now);
}

PeerExclusion RelayPeerHealth::callFailed(RelayCallId call, MonotonicTime now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return {};
    const Call ended = found->second;
    m_calls.erase(found);
    return passOver(ended.door, ended.askedAt, now);
}

bool RelayPeerHealth::isAvailable(const Address &door, MonotonicTime now) const
{
    return isTrusted(door, now) && std::none_of(m_calls.begin(), m_calls.end(), [&](const auto &item) {
               return item.second.door == door && item.second.due <= now;
           });
}

bool RelayPeerHealth::isTrusted(const Address &door, MonotonicTime now) const
{
    const auto distrusted = m_distrusted.find(door);
    return distrusted == m_distrusted.end() || now >= distrusted->second.until;
}

std::vector<PeerExclusion> RelayPeerHealth::passOverSilent(MonotonicTime askedAt, const Address &answering,
                                                           MonotonicTime now)
{
    std::vector<PeerExclusion> passed;
    for (const auto &[id, call] : m_calls) {
        if (call.door == answering || askedAt < call.due || !isTrusted(call.door, now))
            continue;
        passed.push_back(passOver(call.door, call.askedAt, now));
    }
    return passed;
}

PeerExclusion RelayPeerHealth::passOver(const Address &door, MonotonicTime askedAt, MonotonicTime now)
{
    Distrust &entry = m_distrusted[door];
    if (now >= entry.until) {
        entry.length = std::clamp(entry.length * 2, initialPeerExclusion, maxPeerExclusion);
        entry.until = now + entry.length;
    }
    return {door, entry.length, std::chrono::duration_cast<Milliseconds>(now - askedAt)};
}

} // namespace dandeliondock
