#include <dandeliondock/membership/endpoint_directory.h>
#include <dandeliondock/proxy/local_target.h>

#include <utility>

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

bool LocalTarget::isSameStart(const TargetAnnouncement &announcement) const
{
    return m_current->target == announcement.target && m_current->startedAt == announcement.startedAt;
}

AnnouncementEffect LocalTarget::announce(const TargetAnnouncement &announcement, MonotonicTime now)
{
    const bool isStale = m_current && isOlder(announcement);
    // A target does not take back that it leaves, so that this holds in any order of the announcements of one start.
    const bool isDeparture = isTerminal(announcement.state) && m_current && isSameStart(announcement);
    if (isStale && !isDeparture)
        return AnnouncementEffect::Stale;
    const bool isFirst = !std::exchange(m_isAnnounced, true);
    if (isStale) {
        const bool hasLeft = isTerminal(m_current->state);
        if (!hasLeft)
            m_current->state = announcement.state;
        return isFirst || !hasLeft ? AnnouncementEffect::Changed : AnnouncementEffect::Renewed;
    }
    if (!m_current || !isSameStart(announcement)) {
        m_current = announcement;
        m_servingSince = now;
        return AnnouncementEffect::Changed;
    }
    const TargetAnnouncement previous = *m_current;
    m_current = announcement;
    if (isTerminal(previous.state))
        m_current->state = previous.state;
    if (isFirst) {
        m_servingSince = now;
        return AnnouncementEffect::Changed;
    }
    const bool isUnchanged = previous.state == m_current->state && previous.slots == m_current->slots
                             && previous.version == m_current->version && previous.service == m_current->service;
    return isUnchanged ? AnnouncementEffect::Renewed : AnnouncementEffect::Changed;
}

AnnouncementEffect LocalTarget::handleDeparture(const TargetId &target, std::optional<Incarnation> startedAt,
                                                Incarnation latestStart)
{
    if (m_current && m_current->target == target) {
        if (startedAt && *startedAt < m_current->startedAt)
            return AnnouncementEffect::Stale;
        const bool isLaterStart = startedAt && *startedAt > m_current->startedAt;
        if (m_current->state == EndpointState::Gone && m_isAnnounced && !isLaterStart)
            return AnnouncementEffect::Renewed;
        if (isLaterStart)
            m_current->startedAt = *startedAt;
    } else {
        if (m_current && (!startedAt || *startedAt <= m_current->startedAt))
            return AnnouncementEffect::Stale;
        m_current = TargetAnnouncement();
        m_current->target = target;
        m_current->startedAt = startedAt.value_or(latestStart);
    }
    m_current->state = EndpointState::Gone;
    m_isAnnounced = true;
    return AnnouncementEffect::Changed;
}

AnnouncementEffect LocalTarget::applyRecord(const std::optional<TargetAnnouncement> &record)
{
    const bool isFirstRecord = !std::exchange(m_isRecordKnown, true);
    if (!record)
        return AnnouncementEffect::Renewed;
    if (m_current && isSameStart(*record)) {
        if (!isTerminal(record->state) || record->state <= m_current->state)
            return AnnouncementEffect::Renewed;
        m_current->state = record->state;
        return AnnouncementEffect::Changed;
    }
    if (!isFirstRecord || (m_current && record->startedAt < m_current->startedAt))
        return AnnouncementEffect::Stale;
    m_current = record;
    m_isAnnounced = false;
    return AnnouncementEffect::Changed;
}

} // namespace dandeliondock
