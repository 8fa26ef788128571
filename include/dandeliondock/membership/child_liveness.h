#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <map>
#include <vector>

namespace dandeliondock {

/// \brief Silence after which a child's target is marked gone: more than three polls held for 1.5 s.
inline constexpr Milliseconds childPollTimeout{5'000};

/// \brief When each child of a relay last polled.
///
/// \remark Not thread-safe.
class ChildLiveness
{
public:
    /// \brief Notes a poll of a child, or the end of one that was held.
    void polled(const NodeId &child, const TargetId &target, MonotonicTime now) { m_children[child] = {target, now}; }

    /// \brief Forgets a child that said it goes to another parent.
    void forget(const NodeId &child) { m_children.erase(child); }

    /// \brief The targets of the children that were silent too long; each is told once.
    [[nodiscard]] std::vector<TargetId> takeSilent(MonotonicTime now);

private:
    struct Child
    {
        TargetId target;
        MonotonicTime lastPoll;
    };

    std::map<NodeId, Child> m_children;
};

} // namespace dandeliondock
