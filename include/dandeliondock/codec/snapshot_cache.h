#pragma once

#include <dandeliondock/config/config_state.h>

#include <memory>
#include <mutex>
#include <string>

namespace dandeliondock {

/// \brief The compressed snapshot of the latest revision asked for; encoded once and shared.
///
/// \remark Every method is thread-safe.
class SnapshotCache
{
public:
    /// \pre \c state is not null.
    [[nodiscard]] std::shared_ptr<const std::string> encoded(const ConfigStatePtr &state);

private:
    std::mutex m_mutex;
    RevisionNumber m_revision;
    std::shared_ptr<const std::string> m_bytes;
};

} // namespace dandeliondock
