#pragma once

#include <dandeliondock/config/config_state.h>

#include <absl/status/status.h>

#include <atomic>
#include <mutex>

namespace dandeliondock {

/// \brief Holder of the configuration in force; it only moves to higher revisions.
///
/// \remark Every method is thread-safe. Readers take one atomic load and are never blocked by a writer.
class ConfigStore
{
public:
    ConfigStore();

    /// \brief The configuration in force; never null.
    [[nodiscard]] ConfigStatePtr current() const noexcept;

    /// \brief Puts the next revision in force, whole or not at all.
    ///
    /// \return OK also for a revision already held, which changes nothing.
    [[nodiscard]] absl::Status apply(const Revision &revision);

    /// \brief Replaces the state by a later one; an earlier or equal one changes nothing.
    void applySnapshot(ConfigState state);

private:
    std::mutex m_writers;
    std::atomic<ConfigStatePtr> m_current;
};

} // namespace dandeliondock
