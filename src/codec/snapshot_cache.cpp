#include <dandeliondock/codec/snapshot_cache.h>

#include <dandeliondock/codec/snapshot_codec.h>

namespace dandeliondock {

std::shared_ptr<const std::string> SnapshotCache::encodedSnapshot(const ConfigStatePtr &state)
{
    const std::scoped_lock lock(m_mutex);
    // A caller that loaded its state before a newer one was encoded gets the newer snapshot.
    if (m_snapshot && m_revision >= state->revision())
        return m_snapshot;
    m_snapshot = std::make_shared<const std::string>(encodeSnapshot(*state));
    m_revision = state->revision();
    return m_snapshot;
}

} // namespace dandeliondock
