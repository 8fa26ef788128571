#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/membership/endpoint.h>

#include <absl/status/status.h>

#include <optional>

namespace dandeliondock {

/// \brief State of a target as announced by the target itself.
struct TargetAnnouncement
{
    TargetId target;
    Incarnation startedAt; ///< increases with each start of a target at one address; 0 when the target does not send it
    SequenceNumber sequence;
    EndpointState state = EndpointState::Serving;
    Address address;
    ServiceName service;
    VersionName version;
    SlotCount slots;
    Milliseconds coldRemaining{0}; ///< time for which the target remains slow after its start
};

/// \brief Effect of an announcement or departure on the known state of the target.
enum class AnnouncementEffect {
    Changed, ///< the state changed and must be published to other proxies
    Renewed, ///< the announcement is current, but the published state is the same
    Stale,   ///< older than the known state, or about another target; ignored
};

/// \brief Known state of the target on the same instance, built from its announcements.
///
/// An announcement of a later start replaces one of an earlier start; within one start, a higher sequence number
/// replaces a lower one. Once a target is leaving, announcements of the same start, late ones included, do not make it
/// accept requests again.
///
/// \remark Not thread-safe.
class LocalTarget
{
public:
    /// \brief Applies an announcement received at \c now.
    AnnouncementEffect announce(const TargetAnnouncement &announcement, MonotonicTime now);

    /// \brief Marks the target as gone; ignored when the known target started after \c startedAt.
    AnnouncementEffect handleDeparture(const TargetId &target, std::optional<Incarnation> startedAt);

    /// \brief Returns the latest state; empty before the first announcement.
    [[nodiscard]] const std::optional<TargetAnnouncement> &current() const noexcept { return m_current; }

    /// \brief Whether the target accepts new requests.
    [[nodiscard]] bool acceptsRequests() const noexcept
    {
        return m_current && m_current->state == EndpointState::Serving;
    }

    /// \brief Returns when the first announcement of the target's current start was received.
    [[nodiscard]] MonotonicTime servingSince() const noexcept { return m_servingSince; }

private:
    [[nodiscard]] bool isOlder(const TargetAnnouncement &announcement) const;

    std::optional<TargetAnnouncement> m_current;
    MonotonicTime m_servingSince;
};

} // namespace dandeliondock
