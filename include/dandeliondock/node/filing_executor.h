#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/store/store_hooks.h>
#include <dandeliondock/tickets/filing.h>

#include <functional>

namespace dandeliondock {

/// \brief Hook that blocks the calling thread for a random time between 0 and its argument. Callable from any thread.
using JitterHook = std::function<void(Milliseconds)>;

/// \brief Executes the actions of a TicketFiling against the platform's table.
///
/// \remark Every method is thread-safe and blocks the calling thread. The constructor's arguments must outlive the
/// object.
class FilingExecutor
{
public:
    FilingExecutor(const StoreHooks &store, ConfigStore &cache, const JitterHook &jitter);

    /// \brief Executes one action and returns its outcome.
    /// \pre \c action is not CompleteFiling.
    [[nodiscard]] FilingEvent perform(const FilingAction &action) const;

private:
    [[nodiscard]] FilingEvent execute(const ReadFilingRows &action) const;
    [[nodiscard]] FilingEvent execute(const LoadFilingState &action) const;
    [[nodiscard]] FilingEvent execute(const CommitFiling &action) const;
    [[nodiscard]] FilingEvent execute(const WaitFiling &action) const;
    [[nodiscard]] FilingEvent execute(const CompleteFiling &action) const;

    const StoreHooks &m_store;
    ConfigStore &m_cache;
    const JitterHook &m_jitter;
};

/// \brief Returns the configuration at revision \c head, and reads revisions that \c cache lacks. Thread-safe.
/// \return HeadContended when the cache is already past \c head; the error of the store when a read fails.
[[nodiscard]] absl::StatusOr<ConfigStatePtr> readConfigAt(const StoreHooks &store, RevisionNumber head,
                                                          ConfigStore &cache);

} // namespace dandeliondock
