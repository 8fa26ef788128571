#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/store/row_types.h>
#include <dandeliondock/store/store_hooks.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <vector>

namespace dandeliondock {

/// \brief Reads the row `head`. Thread-safe.
[[nodiscard]] absl::StatusOr<VersionedHead> readVersionedHead(const StoreHooks &store);

/// \brief Reads the number of the latest revision. Thread-safe.
[[nodiscard]] absl::StatusOr<RevisionNumber> readHeadRevision(const StoreHooks &store);

/// \brief Reads revisions after \c held up to \c head, at most a page of them. Thread-safe.
/// \return NotFound when the row after \c held was removed; the caller starts from the snapshot.
[[nodiscard]] absl::StatusOr<std::vector<Revision>> scanRevisions(const StoreHooks &store, RevisionNumber held,
                                                                  RevisionNumber head);

/// \brief Brings \c config to revision \c head from the snapshot and the revisions after it. Thread-safe.
///
/// \remark A configuration that is far behind, or whose next revision's row was removed, starts again from the latest
/// snapshot. A configuration past \c head stays as it is.
/// \return InvalidRow naming the row or the object that is missing or malformed.
[[nodiscard]] absl::Status catchUpToRevision(const StoreHooks &store, RevisionNumber head, ConfigStore &config);

} // namespace dandeliondock
