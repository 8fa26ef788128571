#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/config/ticket.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <optional>

namespace dandeliondock {

/// \brief A resource with the ticket and revision that last set or removed it.
struct StampedResource
{
    std::optional<Resource> resource; ///< empty after a removal
    TicketNumber ticket;
    RevisionNumber revision;

    bool operator==(const StampedResource &) const = default;
};

/// \brief The whole configuration at one revision. Immutable once shared.
///
/// \remark Const methods are thread-safe.
class ConfigState
{
public:
    ConfigState() = default;

    [[nodiscard]] RevisionNumber revision() const noexcept { return m_revision; }

    [[nodiscard]] const std::map<ResourceKey, StampedResource> &resources() const noexcept { return m_resources; }

    /// \brief The route of a name; null when there is none.
    [[nodiscard]] const Route *route(const RouteName &name) const;

    /// \brief The service of a name; null when there is none.
    [[nodiscard]] const Service *service(const ServiceName &name) const;

    /// \brief The version of a service; null when there is none.
    [[nodiscard]] const Version *version(const ServiceName &service, const VersionName &name) const;

    /// \brief The highest ticket that set or removed a key; 0 when none did.
    [[nodiscard]] TicketNumber lastTicket(const ResourceKey &key) const;

    /// \brief The state after the next revision, checked whole.
    ///
    /// \return RevisionGap unless \c revision follows this state's; RevisionRefused or UnresolvedReference with the
    /// resource and the reason when the whole result does not hold.
    [[nodiscard]] absl::StatusOr<ConfigState> apply(const Revision &revision) const;

    /// \brief A state from a snapshot, checked whole.
    [[nodiscard]] static absl::StatusOr<ConfigState> fromSnapshot(RevisionNumber revision,
                                                                  std::map<ResourceKey, StampedResource> resources);

    bool operator==(const ConfigState &) const = default;

private:
    RevisionNumber m_revision;
    std::map<ResourceKey, StampedResource> m_resources;
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

/// \brief Checks one resource by itself: names, shares that rise, paths that begin with '/'. Thread-safe.
[[nodiscard]] absl::Status validateResource(const Resource &resource);

/// \brief Checks that every reference in \c state resolves. Thread-safe.
[[nodiscard]] absl::Status validateReferences(const ConfigState &state);

} // namespace dandeliondock
