#include <dandeliondock/distribution/revision_log.h>

#include <algorithm>

namespace dandeliondock {

RevisionLog::RevisionLog(std::size_t capacity) : m_capacity(capacity) {}

void RevisionLog::add(Revision revision)
{
    if (revision.number <= m_latest)
        return;
    if (revision.number.value() != m_latest.value() + 1)
        m_revisions.clear();
    m_latest = revision.number;
    m_revisions.push_back(std::move(revision));
    if (m_revisions.size() > m_capacity)
        m_revisions.pop_front();
}

void RevisionLog::resetTo(RevisionNumber revision)
{
    if (revision <= m_latest)
        return;
    m_revisions.clear();
    m_latest = revision;
}

RevisionDelta RevisionLog::after(RevisionNumber held, std::size_t limit) const
{
    RevisionDelta delta;
    if (held >= m_latest)
        return delta;
    const std::uint64_t missing = m_latest.value() - held.value();
    if (missing > m_revisions.size()) {
        delta.snapshotNeeded = true;
        return delta;
    }
    const auto first = m_revisions.end() - static_cast<std::ptrdiff_t>(missing);
    const auto count = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(missing, limit));
    delta.revisions.assign(first, first + count);
    return delta;
}

} // namespace dandeliondock
