#include <dandeliondock/routing/version_chooser.h>

namespace dandeliondock {

namespace {

// The new version receives requests only if both shares are above zero, so a rollback stops all further attempts on it.
bool carriesTraffic(const VersionSplit &split)
{
    return split.newShare > noShare && split.newTargetShare > noShare;
}

} // namespace

VersionChoice chooseVersion(const Service &service, const std::optional<VersionSplit> &split, std::uint64_t draw,
                            std::optional<bool> pinnedNewVersion)
{
    if (!split)
        return {service.version, false, fullShare};
    const bool isNewDrawn = draw < split->newShare.value();
    const bool prefersNew = pinnedNewVersion.value_or(isNewDrawn) || split->newShare >= fullShare;
    if (prefersNew && carriesTraffic(*split))
        return {split->newVersion, true, split->newTargetShare};
    return {split->oldVersion, false, fullShare};
}

std::size_t targetCountForShare(Share share, std::size_t targets) noexcept
{
    return (targets * share.value() + fullShare.value() - 1) / fullShare.value();
}

} // namespace dandeliondock
