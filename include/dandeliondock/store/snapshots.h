#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/store/row_types.h>
#include <dandeliondock/store/store_hooks.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace dandeliondock {

/// \brief Number of revisions after which the root writes the next snapshot.
inline constexpr std::uint64_t snapshotIntervalRevisions = 64;

/// \brief Name of the object with the state at a revision. Thread-safe.
[[nodiscard]] std::string snapshotName(RevisionNumber revision);

/// \brief Whether a snapshot is to be written at this head. Thread-safe.
[[nodiscard]] bool snapshotDue(const HeadRow &head);

/// \brief Reads the state at a snapshot's revision. Thread-safe.
/// \return InvalidRow naming the object when it is absent or malformed.
[[nodiscard]] absl::StatusOr<ConfigState> readSnapshot(const StoreHooks &store, RevisionNumber revision);

/// \brief Writes a snapshot, records it in `head` and removes the revision rows up to the previous snapshot.
///
/// \remark Thread-safe. Repeating it after any error is harmless: the object's content follows from the revision and
/// the table changes in one conditional transaction. \return HeadContended when `head` changed; the caller tries again
/// at its next turn.
[[nodiscard]] absl::Status writeSnapshot(const StoreHooks &store, const ConfigState &state);

} // namespace dandeliondock
