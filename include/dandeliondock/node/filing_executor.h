#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/store/store_hooks.h>
#include <dandeliondock/tickets/filing.h>

#include <functional>

namespace dandeliondock {

/// \brief Hook that blocks the calling thread for a random time between 0 and its argument. Callable from any thread.
using JitterHook = std::function<void(Milliseconds)>;

/// \brief Carries out the actions of a TicketFiling on the platform's table.
///
/// \remark Every method is thread-safe; the calling thread does the work. The arguments must outlive the object.
class FilingExecutor
{
public:
    FilingExecutor(const StoreHooks &store, ConfigStore &cache, const JitterHook &jitter);

    /// \brief Carries out one action.
    /// \pre \c action is not CompleteFiling.
    [[nodiscard]] FilingEvent perform(const FilingAction &action) const;

private:
    [[nodiscard]] FilingEvent carryOut(const ReadFilingRows &action) const;
    [[nodiscard]] FilingEvent carryOut(const LoadFilingState &action) const;
    [[nodiscard]] FilingEvent carryOut(const CommitFiling &action) const;
    [[nodiscard]] FilingEvent carryOut(const WaitFiling &action) const;
    [[nodiscard]] FilingEvent carryOut(const CompleteFiling &action) const;

    const StoreHooks &m_store;
    ConfigStore &m_cache;
    const JitterHook &m_jitter;
};

/// \brief The configuration at \c head, read through \c cache. Thread-safe.
/// \return HeadContended when the cache is already past \c head.
[[nodiscard]] absl::StatusOr<ConfigStatePtr> readConfigAt(const StoreHooks &store, RevisionNumber head,
                                                          ConfigStore &cache);

} // namespace dandeliondock
