#include <dandeliondock/membership/endpoint_directory.h>
#include <dandeliondock/proxy/local_target.h>

namespace dandeliondock {

bool LocalTarget::isOlder(const TargetAnnouncement &announcement) const
{
    if (announcement.startedAt != m_current->startedAt)
        return announcement.startedAt < m_current->startedAt;
    // Without a start time, only a new id shows that the target was restarted.
    if (announcement.target != m_current->target)
        return m_current->startedAt.value() != 0;
    return announcement.sequence <= m_current->sequence;
}

AnnouncementEffect LocalTarget::announce(const TargetAnnouncement &announcement, MonotonicTime now)
{
    if (m_current && isOlder(announcement))
        return AnnouncementEffect::Stale;
    const bool isSameIncarnation =
            m_current && m_current->target == announcement.target && m_current->startedAt == announcement.startedAt;
    if (!isSameIncarnation) {
        m_current = announcement;
        m_servingSince = now;
        return AnnouncementEffect::Changed;
    }
    const TargetAnnouncement previous = *m_current;
    m_current = announcement;
    if (isTerminal(previous.state))
        m_current->state = previous.state;
    const bool isUnchanged = previous.state == m_current->state && previous.slots == m_current->slots
                             && previous.version == m_current->version && previous.service == m_current->service;
    return isUnchanged ? AnnouncementEffect::Renewed : AnnouncementEffect::Changed;
}

AnnouncementEffect LocalTarget::handleDeparture(const TargetId &target, std::optional<Incarnation> startedAt)
{
    if (!m_current || m_current->target != target || (startedAt && *startedAt < m_current->startedAt))
        return AnnouncementEffect::Stale;
    if (m_current->state == EndpointState::Gone)
        return AnnouncementEffect::Renewed;
    m_current->state = EndpointState::Gone;
    return AnnouncementEffect::Changed;
}

} // namespace dandeliondock
