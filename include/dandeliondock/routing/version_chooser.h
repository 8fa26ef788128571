#pragma once

#include <dandeliondock/routing/routing_hooks.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace dandeliondock {

/// \brief Version that receives a request.
struct VersionChoice
{
    VersionName version;
    bool isNew = false;            ///< whether it is the new version of a running rollout
    Share targetShare = fullShare; ///< share of the version's targets that may be used
};

/// \brief Chooses the version of a request according to the current split.
///
/// \param draw a uniform random number in [0, 10000).
/// \param pinnedNewVersion whether an earlier attempt used the new version; empty for the first attempt. Later attempts
/// keep their version while it receives requests.
/// \remark Thread-safe.
[[nodiscard]] VersionChoice chooseVersion(const Service &service, const std::optional<VersionSplit> &split,
                                          std::uint64_t draw, std::optional<bool> pinnedNewVersion);

/// \brief Returns the number of \c targets that corresponds to a share, rounded up. Thread-safe.
[[nodiscard]] std::size_t targetCountForShare(Share share, std::size_t targets) noexcept;

} // namespace dandeliondock
