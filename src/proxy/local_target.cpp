#include <dandeliondock/membership/endpoint_directory.h>
#include <dandeliondock/proxy/local_target.h>

namespace dandeliondock {

bool LocalTarget::isOlder(const TargetAnnouncement &announcement) const
{
    if (announcement.startedAt != m_current->startedAt)
        return announcement.startedAt < m_current->startedAt;
    // Without a time of start, a new id is the only sign of a new life.
    if (announcement.target != m_current->target)
        return m_current->startedAt.value() != 0;
    return announcement.sequence <= m_current->sequence;
}

AnnouncementEffect LocalTarget::announce(const TargetAnnouncement &announcement, MonotonicTime now)
{
    if (m_current && isOlder(announcement))
        return AnnouncementEffect::Stale;
    const bool sameLife =
            m_current && m_current->target == announcement.target && m_current->startedAt == announcement.startedAt;
    if (!sameLife) {
        m_current = announcement;
        m_servingSince = now;
        return AnnouncementEffect::Changed;
    }
    const TargetAnnouncement before = *m_current;
    m_current = announcement;
    if (isTerminal(before.state))
        m_current->state = before.state;
    const bool isSame = before.state == m_current->state && before.slots == m_current->slots
                        && before.version == m_current->version && before.service == m_current->service;
    return isSame ? AnnouncementEffect::Renewed : AnnouncementEffect::Changed;
}

AnnouncementEffect LocalTarget::leave(const TargetId &target, std::optional<Incarnation> startedAt)
{
    if (!m_current || m_current->target != target || (startedAt && *startedAt < m_current->startedAt))
        return AnnouncementEffect::Stale;
    if (m_current->state == EndpointState::Gone)
        return AnnouncementEffect::Renewed;
    m_current->state = EndpointState::Gone;
    return AnnouncementEffect::Changed;
}

} // namespace dandeliondock
