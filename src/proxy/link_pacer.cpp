#include <dandeliondock/proxy/link_pacer.h>

#include <absl/cleanup/cleanup.h>

#include <utility>

namespace dandeliondock {

TransferHooks LinkPacer::hooks()
{
    TransferHooks hooks;
    hooks.onWritten = [this](ByteCount bytes) { m_schedule.recordWritten(bytes, EventLoop::now()); };
    hooks.begin = [this](ByteCount size) { return m_schedule.begin(size); };
    hooks.awaitGrant = [this](TransferId id, std::function<void(ByteCount)> handler) {
        m_awaiting[id] = std::move(handler);
        m_schedule.request(id);
        grantDue();
    };
    hooks.end = [this](TransferId id) {
        m_awaiting.erase(id);
        m_schedule.end(id);
    };
    return hooks;
}

// A handler may end its transfer or ask for the next grant, so that this method is entered again.
void LinkPacer::grantDue()
{
    if (std::exchange(m_isGranting, true))
        return;
    const absl::Cleanup finish = [this] { finishGranting(); }; // also when a handler throws
    while (const std::optional<TransferGrant> grant = m_schedule.grant(EventLoop::now())) {
        const auto awaiting = m_awaiting.find(grant->transfer);
        if (awaiting == m_awaiting.end())
            continue;
        const auto handler = std::move(awaiting->second);
        m_awaiting.erase(awaiting);
        handler(grant->bytes);
    }
}

void LinkPacer::finishGranting()
{
    m_isGranting = false;
    const std::optional<MonotonicTime> next = m_schedule.nextGrantAt();
    if (next)
        m_timer = m_loop.after(*next - EventLoop::now(), [this] { grantDue(); });
}

} // namespace dandeliondock
