#include <dandeliondock/membership/child_liveness.h>

namespace dandeliondock {

std::vector<TargetId> ChildLiveness::takeSilent(MonotonicTime now)
{
    std::vector<TargetId> silent;
    for (auto child = m_children.begin(); child != m_children.end();) {
        if (now - child->second.lastPoll < childPollTimeout) {
            ++child;
            continue;
        }
        silent.push_back(child->second.target);
        child = m_children.erase(child);
    }
    return silent;
}

} // namespace dandeliondock
