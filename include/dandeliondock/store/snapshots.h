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

/// \brief Returns the name of the object with the configuration at a revision. Thread-safe.
[[nodiscard]] std::string snapshotName(RevisionNumber revision);

/// \brief Whether the next snapshot must be written at this head. Thread-safe.
[[nodiscard]] bool snapshotDue(const HeadRow &head);

/// \brief Reads the snapshot of a revision. Thread-safe.
/// \return InvalidRow that names the object when it is absent or malformed.
[[nodiscard]] absl::StatusOr<ConfigState> readSnapshot(const StoreHooks &store, RevisionNumber revision);

/// \brief Writes a snapshot, records it in the row `head` and removes the revision rows up to the previous snapshot.
///
/// \remark Thread-safe. It can be repeated after any error, because the object's content depends only on the revision
/// and the table changes in one conditional transaction.
/// \return HeadContended when `head` changed in the meantime; the caller retries later.
[[nodiscard]] absl::Status writeSnapshot(const StoreHooks &store, const ConfigState &state);

} // namespace dandeliondock
