#include <dandeliondock/codec/snapshot_cache.h>

#include <dandeliondock/codec/control_codec.h>

namespace dandeliondock {

absl::StatusOr<std::shared_ptr<const std::string>> SnapshotCache::encoded(const ConfigSnapshot &state)
{
    const std::scoped_lock lock(m_mutex);
    // A reader that took its state before a newer one was encoded is served the newer one.
    if (m_bytes && m_revision >= state->revision())
        return m_bytes;
    absl::StatusOr<std::string> bytes = encodeSnapshot(*state);
    if (!bytes.ok())
        return bytes.status();
    m_bytes = std::make_shared<const std::string>(*std::move(bytes));
    m_revision = state->revision();
    return m_bytes;
}

} // namespace dandeliondock
