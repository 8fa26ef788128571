#include <dandeliondock/http/receive_account.h>

#include <thread>
#include <utility>

namespace dandeliondock {

std::shared_ptr<ReceiveEntry> ReceiveAccount::open(std::function<void()> shed)
{
    const HolderId id = m_budget.add(EventLoop::now());
    auto entry = std::make_shared<ReceiveEntry>(shared_from_this(), id, std::move(shed));
    if (m_entries.size() <= id.value())
        m_entries.resize(id.value() + 1);
    m_entries[id.value()] = entry;
    enforce();
    return entry;
}

std::shared_ptr<const void> ReceiveAccount::charge(ByteCount bytes)
{
    m_budget.charge(bytes);
    // The result carries no object, only the release of the bytes. It is not null, so that callers can tell it from
    // none.
    return {this, [account = shared_from_this(), bytes, thread = std::this_thread::get_id()](const void *) {
                if (std::this_thread::get_id() == thread)
                    account->m_budget.release(bytes);
                else
                    account->m_loop.post([account, bytes] { account->m_budget.release(bytes); });
            }};
}

std::shared_ptr<const void> ReceiveAccount::chargeIfFits(ByteCount bytes)
{
    return m_budget.fits(bytes) ? charge(bytes) : nullptr;
}

// The hooks are posted, so that a connection that records its bytes is not closed, and no call fails, within its call.
void ReceiveAccount::enforce()
{
    if (!m_budget.isExceeded())
        return;
    for (const ShedHolder &holder : m_budget.shed(EventLoop::now())) {
        const std::shared_ptr<ReceiveEntry> entry = m_entries[holder.id.value()].lock();
        if (!entry)
            continue;
        entry->m_isShed = true;
        m_onShed(holder);
        m_loop.post([weak = std::weak_ptr(entry)] {
            if (const auto open = weak.lock())
                open->m_shed();
        });
    }
}

ReceiveEntry::ReceiveEntry(std::shared_ptr<ReceiveAccount> account, HolderId id, std::function<void()> shed)
    : m_account(std::move(account)), m_id(id), m_shed(std::move(shed))
{
}

ReceiveEntry::~ReceiveEntry()
{
    m_account->m_budget.remove(m_id);
}

void ReceiveEntry::record(const HolderStatus &status)
{
    m_account->m_budget.record(m_id, status);
    m_account->enforce();
}

} // namespace dandeliondock
