#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/membership/endpoint.h>

#include <absl/status/status.h>

#include <optional>

namespace dandeliondock {

/// \brief What a target says of itself.
struct TargetAnnouncement
{
    TargetId target;
    Incarnation startedAt; ///< rises with each start of a target at one address; 0 when the target does not tell it
    SequenceNumber sequence;
    EndpointState state = EndpointState::Serving;
    Address address;
    ServiceName service;
    VersionName version;
    SlotCount slots;
    Milliseconds coldRemaining{0}; ///< how much longer the target stays slow after its start
};

/// \brief What an announcement changed.
enum class AnnouncementEffect {
    Changed, ///< others must hear of it
    Renewed, ///< nothing but its age
    Stale,   ///< it is older than what is known
};

/// \brief The target beside a proxy, as its announcements tell.
///
/// A later start replaces an earlier one, and within one start a higher sequence replaces a lower one. A target that
/// leaves takes no work again in the same life, whatever arrives late.
///
/// \remark Not thread-safe.
class LocalTarget
{
public:
    /// \brief Takes an announcement.
    AnnouncementEffect announce(const TargetAnnouncement &announcement, MonotonicTime now);

    /// \brief The target ends; one that started after \c startedAt is not meant.
    AnnouncementEffect leave(const TargetId &target, std::optional<Incarnation> startedAt);

    /// \brief What is known; empty before the first announcement.
    [[nodiscard]] const std::optional<TargetAnnouncement> &current() const noexcept { return m_current; }

    /// \brief Whether the target takes new work.
    [[nodiscard]] bool acceptsRequests() const noexcept
    {
        return m_current && m_current->state == EndpointState::Serving;
    }

    /// \brief When the present life of the target was first heard of.
    [[nodiscard]] MonotonicTime servingSince() const noexcept { return m_servingSince; }

private:
    [[nodiscard]] bool isOlder(const TargetAnnouncement &announcement) const;

    std::optional<TargetAnnouncement> m_current;
    MonotonicTime m_servingSince;
};

} // namespace dandeliondock
