#include <dandeliondock/proxy/service_versions.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

namespace {

// The first stage sends few requests to the new version, in case it fails at once. The second stage puts the final load
// on some of its targets, which reveals faults under load. More stages do not fit into a rollout whose new targets
// start late.
const std::vector<Share> rolloutShares{Share(400), Share(3'300), fullShare};

} // namespace

RowKey serviceRowKey(const ServiceName &service)
{
    return RowKey(absl::StrCat(serviceRowPrefix, service.value()));
}

RolloutDefinition rolloutDefinition(const ServiceVersions &versions)
{
    const RolloutProgress &rollout = *versions.rollout;
    RolloutDefinition definition;
    definition.ticket = rollout.record.ticket;
    definition.service = versions.service;
    definition.oldVersion = versions.current;
    definition.newVersion = rollout.target;
    definition.plan.deadline = rollout.deadline;
    definition.plan.stageShares = rolloutShares;
    definition.plan.observation = (rollout.deadline - rollout.startedAt) * observationPercent / 100;
    return definition;
}

std::optional<VersionSplit> versionSplit(const ServiceVersions &versions, std::uint32_t newTargets)
{
    if (!versions.rollout || versions.rollout->record.state != RolloutState::Running || newTargets == 0)
        return std::nullopt;
    const RolloutDefinition definition = rolloutDefinition(versions);
    const StagePlan plan(definition.plan, newTargets);
    const Stage &stage = plan.stage(versions.rollout->record.stage);
    return VersionSplit{definition.ticket, definition.oldVersion, definition.newVersion, stage.share,
                        stage.newTargetShare};
}

bool mayServe(const ServiceVersions &versions, const VersionName &version)
{
    if (version == versions.current)
        return true;
    return versions.rollout && versions.rollout->record.state == RolloutState::Running
           && versions.rollout->target == version;
}

} // namespace dandeliondock
