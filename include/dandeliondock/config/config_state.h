#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/config/ticket.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <optional>

namespace dandeliondock {

/// \brief A resource with the ticket and the revision that last set or removed it.
struct StampedResource
{
    std::optional<Resource> resource; ///< empty after a removal
    TicketNumber ticket;
    RevisionNumber revision;

    bool operator==(const StampedResource &) const = default;
};

/// \brief The complete configuration at one revision. Must not be modified once threads share it.
///
/// \remark Const methods are thread-safe.
class ConfigState
{
public:
    ConfigState() = default;

    [[nodiscard]] RevisionNumber revision() const noexcept { return m_revision; }

    [[nodiscard]] const std::map<ResourceKey, StampedResource> &resources() const noexcept { return m_resources; }

    /// \brief Returns the route with the given name, or null if there is none.
    [[nodiscard]] const Route *route(const RouteName &name) const;

    /// \brief Returns the service with the given name, or null if there is none.
    [[nodiscard]] const Service *service(const ServiceName &name) const;

    /// \brief Returns the version of the given name of a service, or null if there is none.
    [[nodiscard]] const Version *version(const ServiceName &service, const VersionName &name) const;

    /// \brief Returns the number of the latest ticket that set or removed the resource of a key; 0 if none did.
    [[nodiscard]] TicketNumber lastTicket(const ResourceKey &key) const;

    /// \brief Returns the state that results from applying the next revision, validated as a whole.
    ///
    /// \return RevisionGap if the number of \c revision is not the successor of this state's; InvalidTicket if the
    /// ticket names a key twice or a resource is invalid; UnresolvedReference if a reference of the resulting state
    /// does not resolve. The error names the resource and the reason.
    [[nodiscard]] absl::StatusOr<ConfigState> apply(const Revision &revision) const;

    /// \brief Creates a state from the content of a snapshot and validates it as a whole.
    ///
    /// \return InvalidTicket if a resource is invalid; UnresolvedReference if a reference does not resolve.
    [[nodiscard]] static absl::StatusOr<ConfigState> fromSnapshot(RevisionNumber revision,
                                                                  std::map<ResourceKey, StampedResource> resources);

    bool operator==(const ConfigState &) const = default;

private:
    RevisionNumber m_revision;
    std::map<ResourceKey, StampedResource> m_resources;
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

/// \brief Validates a resource without its references, for example names, rising stage shares and path prefixes that
/// begin with '/'. Thread-safe.
/// \return InvalidTicket with the resource and the reason.
[[nodiscard]] absl::Status validateResource(const Resource &resource);

/// \brief Checks that every reference in \c state resolves. Thread-safe.
/// \return UnresolvedReference with the referring and the missing resource.
[[nodiscard]] absl::Status validateReferences(const ConfigState &state);

} // namespace dandeliondock
