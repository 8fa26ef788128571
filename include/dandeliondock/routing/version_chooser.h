#pragma once

#include <dandeliondock/routing/routing_hooks.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace dandeliondock {

/// \brief The version that takes a request.
struct VersionChoice
{
    VersionName version;
    bool isNew = false;            ///< the new version of a running rollout
    Share targetShare = fullShare; ///< part of the version's targets that may be used
};

/// \brief Chooses by the share in force.
///
/// \param draw a uniform number in [0, 10000).
/// \param kept the version of an earlier attempt, which later attempts keep while it may take requests.
/// \remark Thread-safe.
[[nodiscard]] VersionChoice chooseVersion(const Service &service, const std::optional<VersionSplit> &split,
                                          std::uint64_t draw, std::optional<bool> kept);

/// \brief How many of \c targets carry a share: the next whole number. Thread-safe.
[[nodiscard]] std::size_t targetCountForShare(Share share, std::size_t targets) noexcept;

} // namespace dandeliondock
