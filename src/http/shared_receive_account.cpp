#include <dandeliondock/http/shared_receive_account.h>

#include <utility>

namespace dandeliondock {

namespace {

// A shed connection's thread frees its memory at once unless the processors are busy.
constexpr Milliseconds maxWaitForMemory{1'000};

MonotonicTime currentTime()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

} // namespace

std::shared_ptr<SharedReceiveEntry> SharedReceiveAccount::open(std::function<void(HolderActivity)> shed)
{
    auto entry = std::make_shared<SharedReceiveEntry>(shared_from_this(), std::move(shed));
    std::vector<ShedHolder> shedHolders;
    {
        const std::scoped_lock lock(m_mutex);
        entry->m_id = m_budget.add(currentTime());
        if (m_entries.size() <= entry->m_id.value())
            m_entries.resize(entry->m_id.value() + 1);
        m_entries[entry->m_id.value()] = entry.get();
        shedHolders = enforce();
    }
    report(shedHolders);
    return entry;
}

std::shared_ptr<const void> SharedReceiveAccount::charge(ByteCount bytes)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_budget.charge(bytes);
    }
    // The result carries no object, only the release of the bytes.
    return {nullptr, [account = shared_from_this(), bytes](const void *) { account->release(bytes); }};
}

void SharedReceiveAccount::release(ByteCount bytes)
{
    const std::scoped_lock lock(m_mutex);
    m_budget.release(bytes);
    m_memoryFreed.notify_all();
}

ReceiveTotals SharedReceiveAccount::totals() const
{
    const std::scoped_lock lock(m_mutex);
    return {m_budget.held(), m_budget.connections()};
}

std::vector<ShedHolder> SharedReceiveAccount::enforce()
{
    if (!m_budget.isExceeded())
        return {};
    std::vector<ShedHolder> shed = m_budget.shed(currentTime());
    for (const ShedHolder &holder : shed) {
        SharedReceiveEntry &entry = *m_entries[holder.id.value()];
        entry.m_isShed = true;
        if (holder.status.activity == HolderActivity::Receiving) {
            entry.m_unfreedBytes = holder.status.bytes.value();
            m_unfreedBytes += entry.m_unfreedBytes;
        }
        entry.m_shed(holder.status.activity);
    }
    if (!shed.empty())
        m_memoryFreed.notify_all();
    return shed;
}

void SharedReceiveAccount::report(const std::vector<ShedHolder> &shed) const
{
    if (shed.empty() || !m_onShed)
        return;
    const ReceiveTotals now = totals();
    for (const ShedHolder &holder : shed)
        m_onShed(holder, now);
}

bool SharedReceiveAccount::fits() const
{
    return m_unfreedBytes == 0 || m_budget.held().value() + m_unfreedBytes <= m_limits.memory.value();
}

SharedReceiveEntry::SharedReceiveEntry(std::shared_ptr<SharedReceiveAccount> account,
                                       std::function<void(HolderActivity)> shed)
    : m_account(std::move(account)), m_shed(std::move(shed))
{
}

SharedReceiveEntry::~SharedReceiveEntry()
{
    const std::scoped_lock lock(m_account->m_mutex);
    freeLocked();
    m_account->m_entries[m_id.value()] = nullptr;
    m_account->m_budget.remove(m_id);
}

bool SharedReceiveEntry::record(HolderActivity activity, ByteCount bytes)
{
    std::vector<ShedHolder> shed;
    {
        std::unique_lock lock(m_account->m_mutex);
        m_account->m_budget.record(m_id, {activity, bytes, currentTime()});
        shed = m_account->enforce();
        if (activity == HolderActivity::Receiving)
            m_account->m_memoryFreed.wait_for(lock, maxWaitForMemory, [this] { return m_isShed || m_account->fits(); });
    }
    m_account->report(shed);
    return !m_isShed;
}

void SharedReceiveEntry::setFreed()
{
    const std::scoped_lock lock(m_account->m_mutex);
    freeLocked();
}

void SharedReceiveEntry::freeLocked()
{
    if (m_unfreedBytes == 0)
        return;
    m_account->m_unfreedBytes -= m_unfreedBytes;
    m_unfreedBytes = 0;
    m_account->m_memoryFreed.notify_all();
}

} // namespace dandeliondock
