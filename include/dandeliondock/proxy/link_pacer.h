#pragma once

#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/proxy/link_schedule.h>

#include <functional>
#include <map>

namespace dandeliondock {

/// \brief Runs a LinkSchedule on an event loop: passes its grants to the servers that write long responses.
///
/// \remark Every method must be called on the loop's thread.
class LinkPacer
{
public:
    /// \param rate rate of the instance's link; 0 stands for an unlimited one.
    /// \pre \c loop outlives the pacer.
    LinkPacer(EventLoop &loop, DataRate rate) : m_loop(loop), m_schedule(rate) {}
    LinkPacer(const LinkPacer &) = delete;
    LinkPacer &operator=(const LinkPacer &) = delete;

    /// \brief Returns the hooks for a server; the pacer must outlive it.
    [[nodiscard]] TransferHooks hooks();

    /// \brief Returns the schedule, for reservations and estimates.
    [[nodiscard]] LinkSchedule &schedule() noexcept { return m_schedule; }

private:
    void grantDue();
    void finishGranting();

    EventLoop &m_loop;
    LinkSchedule m_schedule;
    std::map<TransferId, std::function<void(ByteCount)>> m_awaiting;
    LoopTimer m_timer;
    bool m_isGranting = false;
};

} // namespace dandeliondock
