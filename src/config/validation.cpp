#include <dandeliondock/config/config_state.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::size_t maxNameLength = 128;

absl::Status invalid(const Resource &resource, absl::string_view reason)
{
    return makeError(ErrorKind::InvalidTicket, absl::StrCat(describe(keyOf(resource)), ": ", reason));
}

bool isName(absl::string_view name)
{
    const auto isNameChar = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
               || c == '.';
    };
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), isNameChar);
}

absl::Status validateShares(const Service &service)
{
    Share last = noShare;
    for (const Share share : service.rollout->stageShares) {
        if (share <= last || share > fullShare)
            return invalid(service, "stage_shares must rise from above 0 to 10000 at most");
        last = share;
    }
    if (!service.rollout->stageShares.empty() && last != fullShare)
        return invalid(service, "the last of stage_shares must be 10000");
    return absl::OkStatus();
}

absl::Status validateRollout(const Service &service)
{
    if (service.previousVersion.has_value() != service.rollout.has_value())
        return invalid(service, "previous_version and rollout must be given together");
    if (!service.rollout)
        return absl::OkStatus();
    if (*service.previousVersion == service.version)
        return invalid(service, "previous_version must differ from version");
    if (service.rollout->observation.count() < 0)
        return invalid(service, "observation_ms must not be negative");
    return validateShares(service);
}

absl::Status validateSplit(const Route &route)
{
    std::uint64_t sum = 0;
    for (const WeightedService &part : route.split)
        sum += part.weight;
    if (!route.split.empty() && sum == 0)
        return invalid(route, "the weights of split must not all be 0");
    return absl::OkStatus();
}

struct ValidateVisitor
{
    absl::Status operator()(const Route &route) const
    {
        if (!isName(route.name.value()))
            return invalid(route, "name must be 1 to 128 letters, digits, '-', '_' or '.'");
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/')
            return invalid(route, "path_prefix must begin with '/'");
        if (route.timeout.count() <= 0)
            return invalid(route, "timeout_ms must be greater than 0");
        return validateSplit(route);
    }

    absl::Status operator()(const Service &service) const
    {
        if (!isName(service.name.value()))
            return invalid(service, "name must be 1 to 128 letters, digits, '-', '_' or '.'");
        if (service.slotsPerTarget.value() == 0)
            return invalid(service, "slots_per_target must be greater than 0");
        if (service.connectionsPerTarget.value() == 0)
            return invalid(service, "connections_per_target must be greater than 0");
        if (service.shedStatus != 0 && (service.shedStatus < 400 || service.shedStatus > 599))
            return invalid(service, "shed_status must be 0 or between 400 and 599");
        if (service.versionFromTargets && !(service.version.value().empty() && !service.rollout))
            return invalid(service, "version and rollout must be empty with version_from_targets");
        return validateRollout(service);
    }

    absl::Status operator()(const Version &version) const
    {
        if (!isName(version.name.value()) || !isName(version.service.value()))
            return invalid(version, "names must be 1 to 128 letters, digits, '-', '_' or '.'");
        return absl::OkStatus();
    }
};

absl::Status unresolved(const ResourceKey &from, const ResourceKey &missing)
{
    return makeError(ErrorKind::UnresolvedReference,
                     absl::StrCat(describe(from), " refers to ", describe(missing), ", which does not exist"));
}

absl::Status resolveVersion(const ConfigState &state, const Service &service, const VersionName &version)
{
    if (state.version(service.name, version) != nullptr)
        return absl::OkStatus();
    return unresolved(keyOf(service), {ResourceKind::Version, version.value(), service.name.value()});
}

struct ResolveVisitor
{
    const ConfigState &state;

    absl::Status operator()(const Route &route) const
    {
        if (state.service(route.service) == nullptr)
            return unresolved(keyOf(route), {ResourceKind::Service, route.service.value(), {}});
        for (const WeightedService &part : route.split) {
            if (state.service(part.service) == nullptr)
                return unresolved(keyOf(route), {ResourceKind::Service, part.service.value(), {}});
        }
        return absl::OkStatus();
    }

    absl::Status operator()(const Service &service) const
    {
        if (service.versionFromTargets)
            return absl::OkStatus();
        if (absl::Status status = resolveVersion(state, service, service.version); !status.ok())
            return status;
        if (service.previousVersion)
            return resolveVersion(state, service, *service.previousVersion);
        return absl::OkStatus();
    }

    absl::Status operator()(const Version &version) const
    {
        if (state.service(version.service) != nullptr)
            return absl::OkStatus();
        return unresolved(keyOf(version), {ResourceKind::Service, version.service.value(), {}});
    }
};

} // namespace

absl::Status validateResource(const Resource &resource)
{
    return std::visit(ValidateVisitor{}, resource);
}

absl::Status validateReferences(const ConfigState &state)
{
    for (const auto &[key, stamped] : state.resources()) {
        if (!stamped.resource)
            continue;
        if (absl::Status status = std::visit(ResolveVisitor{state}, *stamped.resource); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

} // namespace dandeliondock
