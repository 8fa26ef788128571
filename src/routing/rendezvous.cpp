#include <dandeliondock/routing/rendezvous.h>

#include <dandeliondock/core/stable_hash.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::size_t connectionsPerCaller = 2;

} // namespace

std::uint64_t versionTargetRank(const VersionName &version, const TargetId &target)
{
    return stableCombine(stableHash(version.value()), stableHash(target.value()));
}

std::uint64_t callerTargetRank(const NodeId &caller, const TargetId &target)
{
    return stableCombine(stableHash(caller.value()), stableHash(target.value()));
}

std::size_t subsetSize(std::size_t targets, std::size_t callers, std::size_t connectionsPerTarget)
{
    const std::size_t supported = targets * connectionsPerTarget / (callers * connectionsPerCaller);
    return std::min(targets, std::max(supported, minSubsetSize));
}

ConnectionCount connectionShare(ConnectionCount connectionsPerTarget, std::size_t callersPerTarget)
{
    const std::size_t share = connectionsPerTarget.value() / callersPerTarget;
    return ConnectionCount(static_cast<std::uint32_t>(std::max<std::size_t>(minConnectionShare, share)));
}

} // namespace dandeliondock
