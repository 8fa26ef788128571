#include <dandeliondock/membership/child_liveness.h>

namespace dandeliondock {

std::vector<TargetId> ChildLiveness::takeTimedOut(MonotonicTime now)
{
    std::vector<TargetId> timedOut;
    for (auto child = m_children.begin(); child != m_children.end();) {
        if (now - child->second.lastPoll < childPollTimeout) {
            ++child;
            continue;
        }
        timedOut.push_back(child->second.target);
        child = m_children.erase(child);
    }
    return timedOut;
}

} // namespace dandeliondock
