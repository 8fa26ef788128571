#include <dandeliondock/routing/version_chooser.h>

namespace dandeliondock {

namespace {

// A share without targets, or targets without a share, takes no request at all: so a rollback ends every attempt.
bool takesRequests(const VersionSplit &split)
{
    return split.newShare > noShare && split.newTargetShare > noShare;
}

} // namespace

VersionChoice chooseVersion(const Service &service, const std::optional<VersionSplit> &split, std::uint64_t draw,
                            std::optional<bool> kept)
{
    if (!split)
        return {service.version, false, fullShare};
    const bool drawn = draw < split->newShare.value();
    const bool isKept = kept.value_or(drawn) || split->newShare >= fullShare;
    if (isKept && takesRequests(*split))
        return {split->newVersion, true, split->newTargetShare};
    return {split->oldVersion, false, fullShare};
}

std::size_t targetCountForShare(Share share, std::size_t targets) noexcept
{
    return (targets * share.value() + fullShare.value() - 1) / fullShare.value();
}

} // namespace dandeliondock
