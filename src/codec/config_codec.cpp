#include <dandeliondock/codec/config_codec.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock {

namespace {

absl::Status invalidMessage(absl::string_view detail)
{
    return makeError(ErrorKind::InvalidMessage, detail);
}

std::int64_t encodeTime(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime decodeTime(std::int64_t unixMs)
{
    return WallTime(Milliseconds(unixMs));
}

wire::WorkClass encodeWorkClass(WorkClass workClass)
{
    switch (workClass) {
    case WorkClass::Critical:
        return wire::WORK_CLASS_CRITICAL;
    case WorkClass::Interactive:
        return wire::WORK_CLASS_INTERACTIVE;
    case WorkClass::Deferrable:
        return wire::WORK_CLASS_DEFERRABLE;
    }
    return wire::WORK_CLASS_UNSPECIFIED;
}

absl::StatusOr<WorkClass> decodeWorkClass(wire::WorkClass workClass)
{
    switch (workClass) {
    case wire::WORK_CLASS_CRITICAL:
        return WorkClass::Critical;
    case wire::WORK_CLASS_INTERACTIVE:
        return WorkClass::Interactive;
    case wire::WORK_CLASS_DEFERRABLE:
        return WorkClass::Deferrable;
    default:
        return invalidMessage("route.work_class is missing or unknown");
    }
}

wire::ResourceKey encodeResourceKey(const ResourceKey &key)
{
    wire::ResourceKey message;
    switch (key.kind) {
    case ResourceKind::Route:
        message.set_kind(wire::ResourceKey::KIND_ROUTE);
        break;
    case ResourceKind::Service:
        message.set_kind(wire::ResourceKey::KIND_SERVICE);
        break;
    case ResourceKind::Version:
        message.set_kind(wire::ResourceKey::KIND_VERSION);
        break;
    }
    message.set_name(key.name);
    message.set_service(key.service);
    return message;
}

absl::StatusOr<ResourceKey> decodeResourceKey(const wire::ResourceKey &message)
{
    if (message.name().empty())
        return invalidMessage("the key of a resource has no name");
    switch (message.kind()) {
    case wire::ResourceKey::KIND_ROUTE:
        return ResourceKey{ResourceKind::Route, message.name(), {}};
    case wire::ResourceKey::KIND_SERVICE:
        return ResourceKey{ResourceKind::Service, message.name(), {}};
    case wire::ResourceKey::KIND_VERSION:
        return ResourceKey{ResourceKind::Version, message.name(), message.service()};
    default:
        return invalidMessage("the kind of a resource key is missing or unknown");
    }
}

wire::Route encodeRoute(const Route &route)
{
    wire::Route message;
    message.set_name(route.name.value());
    message.set_host(route.host);
    message.set_path_prefix(route.pathPrefix);
    message.set_service(route.service.value());
    message.set_idempotent(route.idempotent);
    message.set_timeout_ms(static_cast<std::uint32_t>(route.timeout.count()));
    message.set_work_class(encodeWorkClass(route.workClass));
    for (const WeightedService &weighted : route.split) {
        wire::WeightedService &entry = *message.add_split();
        entry.set_service(weighted.service.value());
        entry.set_weight(weighted.weight);
    }
    message.set_attempts(route.attemptLimit);
    message.set_target_latency_ms(static_cast<std::uint32_t>(route.targetLatency.count()));
    for (const RegionName &region : route.allowedRegions)
        message.add_allowed_regions(region.value());
    message.set_key_exempt(route.isKeyExempt);
    return message;
}

absl::StatusOr<Resource> decodeRoute(const wire::Route &message)
{
    const absl::StatusOr<WorkClass> workClass = decodeWorkClass(message.work_class());
    if (!workClass.ok())
        return workClass.status();
    Route route;
    route.name = RouteName(message.name());
    route.host = message.host();
    route.pathPrefix = message.path_prefix();
    route.service = ServiceName(message.service());
    route.idempotent = message.idempotent();
    route.timeout = Milliseconds(message.timeout_ms());
    route.workClass = *workClass;
    for (const wire::WeightedService &weighted : message.split())
        route.split.push_back({ServiceName(weighted.service()), weighted.weight()});
    route.attemptLimit = message.attempts();
    route.targetLatency = Milliseconds(message.target_latency_ms());
    for (const std::string &region : message.allowed_regions())
        route.allowedRegions.emplace_back(region);
    route.isKeyExempt = message.key_exempt();
    return route;
}

wire::RolloutPlan encodeRolloutPlan(const RolloutPlan &plan)
{
    wire::RolloutPlan message;
    message.set_deadline_unix_ms(encodeTime(plan.deadline));
    for (const Share share : plan.stageShares)
        message.add_stage_shares(share.value());
    message.set_observation_ms(static_cast<std::uint32_t>(plan.observation.count()));
    return message;
}

RolloutPlan decodeRolloutPlan(const wire::RolloutPlan &message)
{
    RolloutPlan plan;
    plan.deadline = decodeTime(message.deadline_unix_ms());
    for (const std::uint32_t share : message.stage_shares())
        plan.stageShares.emplace_back(share);
    plan.observation = Milliseconds(message.observation_ms());
    return plan;
}

wire::Service encodeService(const Service &service)
{
    wire::Service message;
    message.set_name(service.name.value());
    message.set_version(service.version.value());
    if (service.previousVersion)
        message.set_previous_version(service.previousVersion->value());
    if (service.rollout)
        *message.mutable_rollout() = encodeRolloutPlan(*service.rollout);
    message.set_slots_per_target(service.slotsPerTarget.value());
    message.set_connections_per_target(service.connectionsPerTarget.value());
    message.set_shed_status(service.shedStatus);
    message.set_health_path(service.healthPath);
    message.set_drain_header(service.drainHeader);
    message.set_version_from_targets(service.versionFromTargets);
    message.set_cold_start_ms(static_cast<std::uint32_t>(service.coldStart.count()));
    message.set_cold_requests_per_s(service.coldRate.value());
    return message;
}

Resource decodeService(const wire::Service &message)
{
    Service service;
    service.name = ServiceName(message.name());
    service.version = VersionName(message.version());
    if (!message.previous_version().empty())
        service.previousVersion = VersionName(message.previous_version());
    if (message.has_rollout())
        service.rollout = decodeRolloutPlan(message.rollout());
    service.slotsPerTarget = SlotCount(message.slots_per_target());
    service.connectionsPerTarget = ConnectionCount(message.connections_per_target());
    service.shedStatus = message.shed_status();
    service.healthPath = message.health_path();
    service.drainHeader = message.drain_header();
    service.versionFromTargets = message.version_from_targets();
    service.coldStart = Milliseconds(message.cold_start_ms());
    service.coldRate = RequestRate(message.cold_requests_per_s());
    return service;
}

struct ResourceEncoder
{
    wire::Resource &message;

    void operator()(const Route &route) const { *message.mutable_route() = encodeRoute(route); }
    void operator()(const Service &service) const { *message.mutable_service() = encodeService(service); }
    void operator()(const Version &version) const
    {
        message.mutable_version()->set_service(version.service.value());
        message.mutable_version()->set_name(version.name.value());
    }
};

absl::Status addStampedResource(const wire::StampedResource &message, std::map<ResourceKey, StampedResource> &resources)
{
    absl::StatusOr<Resource> resource = decodeResource(message.resource());
    if (!resource.ok())
        return resource.status();
    const ResourceKey key = keyOf(*resource);
    const StampedResource stamped{*std::move(resource), TicketNumber(message.ticket()),
                                  RevisionNumber(message.revision())};
    if (!resources.emplace(key, stamped).second)
        return invalidMessage(absl::StrCat(describe(key), " stands twice in the state"));
    return absl::OkStatus();
}

absl::Status addRemovedResource(const wire::RemovedResource &message, std::map<ResourceKey, StampedResource> &resources)
{
    const absl::StatusOr<ResourceKey> key = decodeResourceKey(message.key());
    if (!key.ok())
        return key.status();
    const StampedResource stamped{std::nullopt, TicketNumber(message.ticket()), RevisionNumber(message.revision())};
    if (!resources.emplace(*key, stamped).second)
        return invalidMessage(absl::StrCat(describe(*key), " stands twice in the state"));
    return absl::OkStatus();
}

} // namespace

wire::Resource encodeResource(const Resource &resource)
{
    wire::Resource message;
    std::visit(ResourceEncoder{message}, resource);
    return message;
}

wire::Ticket encodeTicket(const Ticket &ticket)
{
    wire::Ticket message;
    message.set_number(ticket.number.value());
    message.set_author(ticket.author.value());
    message.set_note(ticket.note);
    for (const Resource &resource : ticket.resources)
        *message.add_resources() = encodeResource(resource);
    for (const ResourceKey &key : ticket.removals)
        *message.add_removals() = encodeResourceKey(key);
    return message;
}

wire::Revision encodeRevision(const Revision &revision)
{
    wire::Revision message;
    message.set_number(revision.number.value());
    *message.mutable_ticket() = encodeTicket(revision.ticket);
    message.set_accepted_unix_ms(encodeTime(revision.acceptedAt));
    return message;
}

wire::ConfigState encodeState(const ConfigState &state)
{
    wire::ConfigState message;
    message.set_revision(state.revision().value());
    for (const auto &[key, stamped] : state.resources()) {
        if (stamped.resource) {
            wire::StampedResource *entry = message.add_resources();
            *entry->mutable_resource() = encodeResource(*stamped.resource);
            entry->set_ticket(stamped.ticket.value());
            entry->set_revision(stamped.revision.value());
        } else {
            wire::RemovedResource *entry = message.add_removed();
            *entry->mutable_key() = encodeResourceKey(key);
            entry->set_ticket(stamped.ticket.value());
            entry->set_revision(stamped.revision.value());
        }
    }
    return message;
}

absl::StatusOr<Resource> decodeResource(const wire::Resource &message)
{
    switch (message.kind_case()) {
    case wire::Resource::kRoute:
        return decodeRoute(message.route());
    case wire::Resource::kService:
        return decodeService(message.service());
    case wire::Resource::kVersion:
        return Resource(Version{ServiceName(message.version().service()), VersionName(message.version().name())});
    default:
        return invalidMessage("a resource is neither a route nor a service nor a version");
    }
}

absl::StatusOr<Ticket> decodeTicket(const wire::Ticket &message)
{
    Ticket ticket;
    ticket.number = TicketNumber(message.number());
    ticket.author = AuthorName(message.author());
    ticket.note = message.note();
    for (const wire::Resource &resource : message.resources()) {
        absl::StatusOr<Resource> decoded = decodeResource(resource);
        if (!decoded.ok())
            return decoded.status();
        ticket.resources.push_back(*std::move(decoded));
    }
    for (const wire::ResourceKey &key : message.removals()) {
        absl::StatusOr<ResourceKey> decoded = decodeResourceKey(key);
        if (!decoded.ok())
            return decoded.status();
        ticket.removals.push_back(*std::move(decoded));
    }
    return ticket;
}

absl::StatusOr<Revision> decodeRevision(const wire::Revision &message)
{
    if (message.number() == 0)
        return invalidMessage("a revision has no number");
    absl::StatusOr<Ticket> ticket = decodeTicket(message.ticket());
    if (!ticket.ok())
        return ticket.status();
    return Revision{RevisionNumber(message.number()), *std::move(ticket), decodeTime(message.accepted_unix_ms())};
}

absl::StatusOr<ConfigState> decodeState(const wire::ConfigState &message)
{
    std::map<ResourceKey, StampedResource> resources;
    for (const wire::StampedResource &entry : message.resources()) {
        if (absl::Status status = addStampedResource(entry, resources); !status.ok())
            return status;
    }
    for (const wire::RemovedResource &entry : message.removed()) {
        if (absl::Status status = addRemovedResource(entry, resources); !status.ok())
            return status;
    }
    return ConfigState::fromSnapshot(RevisionNumber(message.revision()), std::move(resources));
}

} // namespace dandeliondock
