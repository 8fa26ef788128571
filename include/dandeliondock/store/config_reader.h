#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/store/row_types.h>
#include <dandeliondock/store/store_hooks.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <vector>

namespace dandeliondock {

/// \brief Reads the row `head` with its version. Thread-safe.
[[nodiscard]] absl::StatusOr<VersionedHead> readVersionedHead(const StoreHooks &store);

/// \brief Reads the number of the latest revision. Thread-safe.
[[nodiscard]] absl::StatusOr<RevisionNumber> readHeadRevision(const StoreHooks &store);

/// \brief Reads the revisions after \c held up to \c head, at most one page (256 rows). Thread-safe.
/// \return NotFound when the row of the revision after \c held was removed; the caller then starts from the snapshot.
[[nodiscard]] absl::StatusOr<std::vector<Revision>> scanRevisions(const StoreHooks &store, RevisionNumber held,
                                                                  RevisionNumber head);

/// \brief Updates \c config to revision \c head from the snapshot and the revisions after it. Thread-safe.
///
/// \remark The latest snapshot is loaded first when \c config is more than snapshotIntervalRevisions behind, or when
/// the row of its next revision was removed. A configuration that is already past \c head is not changed.
/// \return InvalidRow that names the missing or malformed row or object.
[[nodiscard]] absl::Status catchUpToRevision(const StoreHooks &store, RevisionNumber head, ConfigStore &config);

} // namespace dandeliondock
