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

/// \brief Known state of the target on the same instance, built from its announcements and from the record that an
/// earlier process of this proxy left.
///
/// An announcement of a later start replaces one of an earlier start; within one start, a higher sequence number
/// replaces a lower one. A target leaves whatever the sequence number of the announcement that says so, and then
/// announcements of the same start, late ones included, do not make it accept requests again, also after a restart of
/// the proxy.
///
/// \remark Not thread-safe.
class LocalTarget
{
public:
    /// \brief Applies an announcement received at \c now.
    AnnouncementEffect announce(const TargetAnnouncement &announcement, MonotonicTime now);

    /// \brief Marks the target as gone; ignored when the known target started after \c startedAt. A departure of an
    /// unknown target is kept, so that its late announcements are stale.
    ///
    /// \param latestStart start assumed for an unknown target if \c startedAt is empty: it cannot have started later.
    AnnouncementEffect handleDeparture(const TargetId &target, std::optional<Incarnation> startedAt,
                                       Incarnation latestStart);

    /// \brief Applies the record that the row of the target holds; empty if there is none. Of a later record only the
    /// end of the known start counts: another writer may have written it.
    AnnouncementEffect applyRecord(const std::optional<TargetAnnouncement> &record);

    /// \brief Whether applyRecord() was called; before, an earlier process may have acknowledged more than is known.
    [[nodiscard]] bool isRecordKnown() const noexcept { return m_isRecordKnown; }

    /// \brief Returns the latest state; empty before the first announcement, departure or record.
    [[nodiscard]] const std::optional<TargetAnnouncement> &current() const noexcept { return m_current; }

    /// \brief Whether the target itself has sent the latest state to this process.
    [[nodiscard]] bool isAnnounced() const noexcept { return m_isAnnounced; }

    /// \brief Whether the target accepts new requests.
    [[nodiscard]] bool acceptsRequests() const noexcept
    {
        return m_isRecordKnown && m_isAnnounced && m_current->state == EndpointState::Serving;
    }

    /// \brief Returns when the first announcement of the target's current start was received.
    [[nodiscard]] MonotonicTime servingSince() const noexcept { return m_servingSince; }

private:
    [[nodiscard]] bool isOlder(const TargetAnnouncement &announcement) const;
    [[nodiscard]] bool isSameStart(const TargetAnnouncement &announcement) const;

    std::optional<TargetAnnouncement> m_current;
    MonotonicTime m_servingSince;
    bool m_isAnnounced = false;
    bool m_isRecordKnown = false;
};

} // namespace dandeliondock
