#include <dandeliondock/proxy/service_versions.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace dandeliondock {

namespace {

constexpr Share firstShare{400};
constexpr Share maxLoadShare{3'300};
constexpr std::uint32_t targetsPerLoadedTarget = 10;

// The first stage sends few requests to the new version, in case it fails at once. The second stage puts the final load
// on a few of its targets, which reveals faults under load. More stages do not fit into a rollout whose new targets
// start late.
std::vector<Share> rolloutShares(std::uint32_t newTargets)
{
    const std::uint32_t targets = std::max(newTargets, 1U);
    const std::uint32_t loadedTargets = (targets + targetsPerLoadedTarget - 1) / targetsPerLoadedTarget;
    const std::uint32_t loadShare = fullShare.value() * loadedTargets / targets;
    return {firstShare, Share(std::min(loadShare, maxLoadShare.value())), fullShare};
}

} // namespace

RowKey serviceRowKey(const ServiceName &service)
{
    return RowKey(absl::StrCat(serviceRowPrefix, service.value()));
}

RolloutDefinition rolloutDefinition(const ServiceVersions &versions, std::uint32_t newTargets)
{
    const RolloutProgress &rollout = *versions.rollout;
    RolloutDefinition definition;
    definition.ticket = rollout.record.ticket;
    definition.service = versions.service;
    definition.oldVersion = versions.current;
    definition.newVersion = rollout.target;
    definition.plan.deadline = rollout.deadline;
    definition.plan.stageShares = rolloutShares(newTargets);
    definition.plan.observation = (rollout.deadline - rollout.startedAt) * observationPercent / 100;
    return definition;
}

std::optional<VersionSplit> versionSplit(const ServiceVersions &versions, std::uint32_t newTargets)
{
    if (!versions.rollout || versions.rollout->record.state != RolloutState::Running || newTargets == 0)
        return std::nullopt;
    const RolloutDefinition definition = rolloutDefinition(versions, newTargets);
    const StagePlan plan(definition.plan, newTargets);
    const Stage &stage = plan.stage(versions.rollout->record.stage);
    return VersionSplit{definition.ticket, definition.oldVersion, definition.newVersion, stage.share,
                        stage.newTargetShare};
}

bool isBehind(const ServiceVersions &row, const ServiceVersions &known)
{
    if (!row.rollout || !known.rollout)
        return known.rollout.has_value();
    const RolloutRecord &rowRecord = row.rollout->record;
    const RolloutRecord &knownRecord = known.rollout->record;
    if (rowRecord.ticket != knownRecord.ticket)
        return rowRecord.ticket < knownRecord.ticket;
    if (rowRecord.state != knownRecord.state)
        return rowRecord.state < knownRecord.state;
    return rowRecord.stage < knownRecord.stage || (!row.rollout->isNotified && known.rollout->isNotified);
}

bool mayServe(const ServiceVersions &versions, const VersionName &version)
{
    if (version == versions.current)
        return true;
    return versions.rollout && versions.rollout->record.state == RolloutState::Running
           && versions.rollout->target == version;
}

} // namespace dandeliondock
