#pragma once

#include <dandeliondock/config/ticket.h>

#include <cstddef>
#include <deque>
#include <vector>

namespace dandeliondock {

/// \brief What a node needs to reach the latest revision.
struct RevisionDelta
{
    std::vector<Revision> revisions;
    bool snapshotNeeded = false; ///< the log no longer reaches back to the node's revision

    bool operator==(const RevisionDelta &) const = default;
};

/// \brief The most recent revisions, consecutive and bounded in number.
///
/// \remark One thread at a time.
class RevisionLog
{
public:
    /// \pre \c capacity is greater than 0.
    explicit RevisionLog(std::size_t capacity);

    /// \brief Adds the next revision. One already covered changes nothing; one after a gap starts the log anew.
    void add(Revision revision);

    /// \brief Forgets every revision because the state moved to \c revision by a snapshot; an earlier one changes
    /// nothing.
    void resetTo(RevisionNumber revision);

    /// \brief At most \c limit revisions that follow \c held.
    [[nodiscard]] RevisionDelta after(RevisionNumber held, std::size_t limit) const;

    [[nodiscard]] RevisionNumber latest() const noexcept { return m_latest; }

    [[nodiscard]] std::size_t size() const noexcept { return m_revisions.size(); }

private:
    std::size_t m_capacity;
    RevisionNumber m_latest;
    std::deque<Revision> m_revisions;
};

} // namespace dandeliondock
