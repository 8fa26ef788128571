#pragma once

#include <dandeliondock/config/ticket.h>

#include <cstddef>
#include <deque>
#include <vector>

namespace dandeliondock {

/// \brief Revisions that a node needs to reach the latest one.
struct RevisionDelta
{
    std::vector<Revision> revisions;
    bool snapshotNeeded = false; ///< the log no longer reaches back to the node's revision

    bool operator==(const RevisionDelta &) const = default;
};

/// \brief A bounded log of the most recent, consecutive revisions.
///
/// \remark Not thread-safe.
class RevisionLog
{
public:
    /// \pre \c capacity is greater than 0.
    explicit RevisionLog(std::size_t capacity);

    /// \brief Appends a revision. A revision up to the latest one is ignored; a revision after a gap clears the log
    /// first.
    void add(Revision revision);

    /// \brief Clears the log and continues after \c revision, which was reached by a snapshot. Does nothing unless
    /// \c revision is later than the latest one.
    void resetTo(RevisionNumber revision);

    /// \brief Returns at most \c limit revisions that follow \c held.
    [[nodiscard]] RevisionDelta after(RevisionNumber held, std::size_t limit) const;

    [[nodiscard]] RevisionNumber latest() const noexcept { return m_latest; }

    [[nodiscard]] std::size_t size() const noexcept { return m_revisions.size(); }

private:
    std::size_t m_capacity;
    RevisionNumber m_latest;
    std::deque<Revision> m_revisions;
};

} // namespace dandeliondock
