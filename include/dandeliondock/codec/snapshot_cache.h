#pragma once

#include <dandeliondock/config/config_state.h>

#include <memory>
#include <mutex>
#include <string>

namespace dandeliondock {

/// \brief Caches the compressed snapshot of the highest revision requested so far, so that it is encoded only once.
///
/// \remark Every method is thread-safe.
class SnapshotCache
{
public:
    /// \brief Returns the compressed snapshot of \c state, or that of a later state if one was requested before.
    /// \pre \c state is not null.
    [[nodiscard]] std::shared_ptr<const std::string> encodedSnapshot(const ConfigStatePtr &state);

private:
    std::mutex m_mutex;
    RevisionNumber m_revision; ///< of m_snapshot
    std::shared_ptr<const std::string> m_snapshot;
};

} // namespace dandeliondock
