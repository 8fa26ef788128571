#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <map>
#include <vector>

namespace dandeliondock {

/// \brief Time without a poll after which a child's target is marked gone: more than three polls, each held for 1.5 s.
inline constexpr Milliseconds childPollTimeout{5'000};

/// \brief Time of the last poll of each child of a relay.
///
/// \remark Not thread-safe.
class ChildLiveness
{
public:
    /// \brief Records that a poll of a child arrived, or that a held poll ended.
    void recordPoll(const NodeId &child, const TargetId &target, MonotonicTime now)
    {
        m_children[child] = {target, now};
    }

    /// \brief Removes a child that announced a move to another parent.
    void forget(const NodeId &child) { m_children.erase(child); }

    /// \brief Removes the children that have not polled for childPollTimeout and returns their targets.
    [[nodiscard]] std::vector<TargetId> takeTimedOut(MonotonicTime now);

private:
    struct Child
    {
        TargetId target;
        MonotonicTime lastPoll;
    };

    std::map<NodeId, Child> m_children;
};

} // namespace dandeliondock
