#include <dandeliondock/config/config_state.h>

#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace dandeliondock {

namespace {

constexpr std::size_t maxNameLength = 128;

absl::Status invalidResource(const Resource &resource, absl::string_view reason)
{
    return makeError(ErrorKind::InvalidTicket, absl::StrCat(describe(keyOf(resource)), ": ", reason));
}

bool isValidName(absl::string_view name)
{
    const auto isNameChar = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
               || c == '.';
    };
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), isNameChar);
}

absl::Status validateShares(const Service &service)
{
    Share lastShare = noShare;
    for (const Share share : service.rollout->stageShares) {
        if (share <= lastShare || share > fullShare)
            return invalidResource(service, "stage_shares must rise from above 0 to 10000 at most");
        lastShare = share;
    }
    if (!service.rollout->stageShares.empty() && lastShare != fullShare)
        return invalidResource(service, "the last of stage_shares must be 10000");
    return absl::OkStatus();
}

absl::Status validateRollout(const Service &service)
{
    if (service.previousVersion.has_value() != service.rollout.has_value())
        return invalidResource(service, "previous_version and rollout must be given together");
    if (!service.rollout)
        return absl::OkStatus();
    if (*service.previousVersion == service.version)
        return invalidResource(service, "previous_version must differ from version");
    if (service.rollout->observation.count() < 0)
        return invalidResource(service, "observation_ms must not be negative");
    return validateShares(service);
}

absl::Status validateSplit(const Route &route)
{
    std::uint64_t sum = 0;
    for (const WeightedService &weighted : route.split)
        sum += weighted.weight;
    if (!route.split.empty() && sum == 0)
        return invalidResource(route, "the weights of split must not all be 0");
    return absl::OkStatus();
}

struct ResourceValidator
{
    absl::Status operator()(const Route &route) const
    {
        if (!isValidName(route.name.value()))
            return invalidResource(route, "name must be 1 to 128 letters, digits, '-', '_' or '.'");
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/')
            return invalidResource(route, "path_prefix must begin with '/'");
        if (route.timeout.count() <= 0)
            return invalidResource(route, "timeout_ms must be greater than 0");
        for (const RegionName &region : route.allowedRegions) {
            if (!isValidName(region.value()))
                return invalidResource(route, "each of allowed_regions must be a name of a region");
        }
        return validateSplit(route);
    }

    absl::Status operator()(const Service &service) const
    {
        if (!isValidName(service.name.value()))
            return invalidResource(service, "name must be 1 to 128 letters, digits, '-', '_' or '.'");
        if (service.slotsPerTarget.value() == 0)
            return invalidResource(service, "slots_per_target must be greater than 0");
        if (service.connectionsPerTarget.value() == 0)
            return invalidResource(service, "connections_per_target must be greater than 0");
        if (!std::isfinite(service.coldRate.value()) || service.coldRate.value() < 0
            || service.coldRate.value() > maxMessageCount || service.coldStart.count() < 0
            || service.coldStart > maxMessageDuration)
            return invalidResource(service, "cold start and cold rate must not be negative or enormous");
        if (service.shedStatus != 0 && (service.shedStatus < 400 || service.shedStatus > 599))
            return invalidResource(service, "shed_status must be 0 or between 400 and 599");
        if (service.versionFromTargets && !(service.version.value().empty() && !service.rollout))
            return invalidResource(service, "version and rollout must be empty with version_from_targets");
        return validateRollout(service);
    }

    absl::Status operator()(const Version &version) const
    {
        if (!isValidName(version.name.value()) || !isValidName(version.service.value()))
            return invalidResource(version, "names must be 1 to 128 letters, digits, '-', '_' or '.'");
        return absl::OkStatus();
    }
};

absl::Status unresolvedReference(const ResourceKey &referrer, const ResourceKey &missing)
{
    return makeError(ErrorKind::UnresolvedReference,
                     absl::StrCat(describe(referrer), " refers to ", describe(missing), ", which does not exist"));
}

absl::Status checkVersionExists(const ConfigState &state, const Service &service, const VersionName &version)
{
    if (state.version(service.name, version) != nullptr)
        return absl::OkStatus();
    return unresolvedReference(keyOf(service), {ResourceKind::Version, version.value(), service.name.value()});
}

struct ReferenceValidator
{
    const ConfigState &state;

    absl::Status operator()(const Route &route) const
    {
        if (state.service(route.service) == nullptr)
            return unresolvedReference(keyOf(route), {ResourceKind::Service, route.service.value(), {}});
        for (const WeightedService &weighted : route.split) {
            if (state.service(weighted.service) == nullptr)
                return unresolvedReference(keyOf(route), {ResourceKind::Service, weighted.service.value(), {}});
        }
        return absl::OkStatus();
    }

    absl::Status operator()(const Service &service) const
    {
        if (service.versionFromTargets)
            return absl::OkStatus();
        if (absl::Status status = checkVersionExists(state, service, service.version); !status.ok())
            return status;
        if (service.previousVersion)
            return checkVersionExists(state, service, *service.previousVersion);
        return absl::OkStatus();
    }

    absl::Status operator()(const Version &version) const
    {
        if (state.service(version.service) != nullptr)
            return absl::OkStatus();
        return unresolvedReference(keyOf(version), {ResourceKind::Service, version.service.value(), {}});
    }
};

} // namespace

absl::Status validateResource(const Resource &resource)
{
    return std::visit(ResourceValidator{}, resource);
}

absl::Status validateReferences(const ConfigState &state)
{
    for (const auto &[key, stamped] : state.resources()) {
        if (!stamped.resource)
            continue;
        if (absl::Status status = std::visit(ReferenceValidator{state}, *stamped.resource); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

} // namespace dandeliondock
