#include <dandeliondock/config/config_state.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

namespace {

template <typename ResourceType>
const ResourceType *findResource(const std::map<ResourceKey, StampedResource> &resources, const ResourceKey &key)
{
    const auto found = resources.find(key);
    if (found == resources.end() || !found->second.resource)
        return nullptr;
    return std::get_if<ResourceType>(&*found->second.resource);
}

absl::Status checkUniqueKeys(const Ticket &ticket)
{
    std::map<ResourceKey, int> occurrences;
    for (const ResourceKey &key : affectedKeys(ticket)) {
        if (++occurrences[key] > 1)
            return makeError(ErrorKind::InvalidTicket, absl::StrCat(describe(key), " stands twice in the ticket"));
    }
    return absl::OkStatus();
}

} // namespace

const Route *ConfigState::route(const RouteName &name) const
{
    return findResource<Route>(m_resources, {ResourceKind::Route, name.value(), {}});
}

const Service *ConfigState::service(const ServiceName &name) const
{
    return findResource<Service>(m_resources, {ResourceKind::Service, name.value(), {}});
}

const Version *ConfigState::version(const ServiceName &service, const VersionName &name) const
{
    return findResource<Version>(m_resources, {ResourceKind::Version, name.value(), service.value()});
}

TicketNumber ConfigState::lastTicket(const ResourceKey &key) const
{
    const auto found = m_resources.find(key);
    return found == m_resources.end() ? TicketNumber{} : found->second.ticket;
}

absl::StatusOr<ConfigState> ConfigState::apply(const Revision &revision) const
{
    if (revision.number.value() != m_revision.value() + 1) {
        return makeError(ErrorKind::RevisionGap, absl::StrCat("revision ", revision.number.value(),
                                                              " does not follow revision ", m_revision.value()));
    }
    if (absl::Status status = checkUniqueKeys(revision.ticket); !status.ok())
        return status;
    ConfigState next = *this;
    next.m_revision = revision.number;
    for (const Resource &resource : revision.ticket.resources) {
        if (absl::Status status = validateResource(resource); !status.ok())
            return status;
        next.m_resources[keyOf(resource)] = {resource, revision.ticket.number, revision.number};
    }
    for (const ResourceKey &key : revision.ticket.removals)
        next.m_resources[key] = {std::nullopt, revision.ticket.number, revision.number};
    if (absl::Status status = validateReferences(next); !status.ok())
        return status;
    return next;
}

absl::StatusOr<ConfigState> ConfigState::fromSnapshot(RevisionNumber revision,
                                                      std::map<ResourceKey, StampedResource> resources)
{
    ConfigState state;
    state.m_revision = revision;
    state.m_resources = std::move(resources);
    for (const auto &[key, stamped] : state.m_resources) {
        if (!stamped.resource)
            continue;
        if (absl::Status status = validateResource(*stamped.resource); !status.ok())
            return status;
    }
    if (absl::Status status = validateReferences(state); !status.ok())
        return status;
    return state;
}

} // namespace dandeliondock
