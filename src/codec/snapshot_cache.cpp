#include <dandeliondock/codec/snapshot_cache.h>

#include <dandeliondock/codec/snapshot_codec.h>

namespace dandeliondock {

std::shared_ptr<const std::string> SnapshotCache::encoded(const ConfigStatePtr &state)
{
    const std::scoped_lock lock(m_mutex);
    // A reader that took its state before a newer one was encoded is served the newer one.
    if (m_bytes && m_revision >= state->revision())
        return m_bytes;
    m_bytes = std::make_shared<const std::string>(encodeSnapshot(*state));
    m_revision = state->revision();
    return m_bytes;
}

} // namespace dandeliondock
