#pragma once

#include <dandeliondock/config/config_state.h>

#include <absl/status/status.h>

#include <atomic>
#include <mutex>

namespace dandeliondock {

/// \brief Holds the current configuration, whose revision number only ever rises.
///
/// \remark Every method is thread-safe. A reader performs one atomic load and is never blocked by a writer.
class ConfigStore
{
public:
    ConfigStore();

    /// \brief Returns the current configuration; never null.
    [[nodiscard]] ConfigStatePtr current() const noexcept;

    /// \brief Applies the next revision. On an error the configuration does not change.
    ///
    /// \return OK without any change if the current configuration already includes the revision; otherwise the result
    /// of ConfigState::apply().
    [[nodiscard]] absl::Status apply(const Revision &revision);

    /// \brief Replaces the configuration by \c state if that has a higher revision; otherwise does nothing.
    void applySnapshot(ConfigState state);

private:
    std::mutex m_writeMutex;
    std::atomic<ConfigStatePtr> m_current;
};

} // namespace dandeliondock
