#include <dandeliondock/config/resources.h>
#include <dandeliondock/config/ticket.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

namespace {

struct KeyOfVisitor
{
    ResourceKey operator()(const Route &route) const { return {ResourceKind::Route, route.name.value(), {}}; }
    ResourceKey operator()(const Service &service) const { return {ResourceKind::Service, service.name.value(), {}}; }
    ResourceKey operator()(const Version &version) const
    {
        return {ResourceKind::Version, version.name.value(), version.service.value()};
    }
};

} // namespace

ResourceKey keyOf(const Resource &resource)
{
    return std::visit(KeyOfVisitor{}, resource);
}

std::string describe(const ResourceKey &key)
{
    switch (key.kind) {
    case ResourceKind::Route:
        return absl::StrCat("route ", key.name);
    case ResourceKind::Service:
        return absl::StrCat("service ", key.name);
    case ResourceKind::Version:
        return absl::StrCat("version ", key.service, "/", key.name);
    }
    return key.name;
}

std::vector<ResourceKey> affectedKeys(const Ticket &ticket)
{
    std::vector<ResourceKey> keys;
    keys.reserve(ticket.resources.size() + ticket.removals.size());
    for (const Resource &resource : ticket.resources)
        keys.push_back(keyOf(resource));
    keys.insert(keys.end(), ticket.removals.begin(), ticket.removals.end());
    return keys;
}

} // namespace dandeliondock
