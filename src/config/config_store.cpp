#include <dandeliondock/config/config_store.h>

namespace dandeliondock {

ConfigStore::ConfigStore() : m_current(std::make_shared<const ConfigState>()) {}

ConfigStatePtr ConfigStore::current() const noexcept
{
    return m_current.load();
}

absl::Status ConfigStore::apply(const Revision &revision)
{
    const std::scoped_lock lock(m_writeMutex);
    const ConfigStatePtr previous = m_current.load();
    if (revision.number <= previous->revision())
        return absl::OkStatus();
    absl::StatusOr<ConfigState> next = previous->apply(revision);
    if (!next.ok())
        return next.status();
    m_current.store(std::make_shared<const ConfigState>(*std::move(next)));
    return absl::OkStatus();
}

void ConfigStore::applySnapshot(ConfigState state)
{
    const std::scoped_lock lock(m_writeMutex);
    if (state.revision() <= m_current.load()->revision())
        return;
    m_current.store(std::make_shared<const ConfigState>(std::move(state)));
}

} // namespace dandeliondock
