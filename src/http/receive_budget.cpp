#include <dandeliondock/http/receive_budget.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace dandeliondock {

namespace {

constexpr std::uint64_t percent = 100;
// Small descriptor limits leave this part of them to connections.
constexpr std::uint32_t minConnectionDivisor = 5;
// More than necessary is shed at once, by this part of a limit, so that not every read near it searches all holders.
constexpr std::uint64_t headroomDivisor = 32;

constexpr std::array<const char *, 7> activityNames = {"idle",    "closing", "receiving",         "handling",
                                                       "writing", "delayed", "receiving_response"};

std::uint64_t withHeadroom(std::uint64_t limit)
{
    return limit - limit / headroomDivisor;
}

} // namespace

ReceiveLimits receiveLimitsFor(ByteCount memoryLimit, DescriptorCount descriptorLimit) noexcept
{
    const std::uint32_t descriptors = descriptorLimit.value();
    const std::uint32_t unreserved =
            descriptors > reservedDescriptors.value() ? descriptors - reservedDescriptors.value() : 0;
    return {ByteCount(memoryLimit.value() / percent * messageMemoryPercent),
            ConnectionCount(std::max(unreserved, descriptors / minConnectionDivisor))};
}

bool isFramingExcessive(ByteCount received, ByteCount body) noexcept
{
    return received.value() > 2 * body.value() + freeFraming.value();
}

const char *holderActivityName(HolderActivity activity) noexcept
{
    return activityNames.at(static_cast<std::size_t>(activity));
}

HolderId ReceiveBudget::add(MonotonicTime now)
{
    if (m_free.empty()) {
        m_free.push_back(m_holders.size());
        m_holders.emplace_back();
    }
    const std::size_t index = m_free.back();
    m_free.pop_back();
    m_holders[index] = {{HolderActivity::Idle, connectionOverhead, now}, now, false, true};
    m_heldBytes += connectionOverhead.value();
    ++m_connections;
    return HolderId(index);
}

void ReceiveBudget::remove(HolderId id)
{
    if (m_holders[id.value()].isOpen)
        static_cast<void>(take(id.value()));
    m_free.push_back(id.value());
}

void ReceiveBudget::record(HolderId id, const HolderStatus &status)
{
    Holder &holder = m_holders[id.value()];
    if (!holder.isOpen)
        return;
    m_heldBytes += status.bytes.value() - holder.status.bytes.value();
    if (holder.status.activity != status.activity)
        holder.since = status.progressAt;
    holder.hasHandled = holder.hasHandled || status.activity == HolderActivity::Handling;
    holder.status = status;
}

void ReceiveBudget::charge(ByteCount bytes)
{
    m_chargedBytes += bytes.value();
}

void ReceiveBudget::release(ByteCount bytes)
{
    m_chargedBytes -= bytes.value();
}

bool ReceiveBudget::fits(ByteCount bytes) const noexcept
{
    return m_heldBytes + m_chargedBytes + bytes.value() <= m_limits.memory.value();
}

bool ReceiveBudget::isExceeded() const noexcept
{
    return m_heldBytes + m_chargedBytes > m_limits.memory.value() || m_connections > m_limits.connections.value();
}

std::vector<ShedHolder> ReceiveBudget::shed(MonotonicTime now)
{
    std::vector<ShedHolder> shed;
    if (m_connections > m_limits.connections.value())
        shedForConnections(now, shed);
    if (m_heldBytes + m_chargedBytes > m_limits.memory.value())
        shedForMemory(now, shed);
    return shed;
}

bool ReceiveBudget::isStalled(const Holder &holder, MonotonicTime now)
{
    return now - holder.status.progressAt >= stalledAfter;
}

bool ReceiveBudget::isSlow(const Holder &holder, MonotonicTime now)
{
    const MonotonicTime::duration elapsed = now - holder.since;
    if (elapsed < rateJudgedAfter)
        return false;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    return static_cast<double>(holder.status.bytes.value()) < seconds * static_cast<double>(slowRate.value());
}

std::optional<int> ReceiveBudget::memoryRank(const Holder &holder, MonotonicTime now)
{
    const bool stalled = isStalled(holder, now);
    switch (holder.status.activity) {
    case HolderActivity::Receiving:
        if (stalled)
            return 0;
        return isSlow(holder, now) ? 2 : 3;
    case HolderActivity::Writing:
        return stalled ? 1 : 5;
    case HolderActivity::ReceivingResponse:
        return stalled ? 4 : 6;
    case HolderActivity::Delayed:
        return 5;
    case HolderActivity::Idle:
    case HolderActivity::Closing:
    case HolderActivity::Handling:
        break;
    }
    return std::nullopt;
}

std::optional<int> ReceiveBudget::connectionRank(const Holder &holder, MonotonicTime now)
{
    switch (holder.status.activity) {
    case HolderActivity::Closing:
        return 0;
    case HolderActivity::Idle:
        return holder.hasHandled ? 2 : 1;
    case HolderActivity::Receiving:
        if (isStalled(holder, now))
            return 3;
        return isSlow(holder, now) ? std::optional(5) : std::nullopt;
    case HolderActivity::Writing:
        return isStalled(holder, now) ? std::optional(4) : std::nullopt;
    case HolderActivity::Handling:
    case HolderActivity::Delayed:
    case HolderActivity::ReceivingResponse:
        break;
    }
    return std::nullopt;
}

void ReceiveBudget::shedForMemory(MonotonicTime now, std::vector<ShedHolder> &shed)
{
    struct Candidate
    {
        int rank;
        std::uint64_t bytes;
        std::size_t index;
    };
    std::vector<Candidate> candidates;
    for (std::size_t index = 0; index < m_holders.size(); ++index) {
        const Holder &holder = m_holders[index];
        if (!holder.isOpen)
            continue;
        if (const std::optional<int> rank = memoryRank(holder, now))
            candidates.push_back({*rank, holder.status.bytes.value(), index});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(left.rank, right.bytes) < std::tie(right.rank, left.bytes);
    });
    for (const Candidate &candidate : candidates) {
        if (m_heldBytes + m_chargedBytes <= withHeadroom(m_limits.memory.value()))
            return;
        shed.push_back(take(candidate.index));
    }
}

void ReceiveBudget::shedForConnections(MonotonicTime now, std::vector<ShedHolder> &shed)
{
    struct Candidate
    {
        int rank;
        MonotonicTime progressAt;
        std::size_t index;
    };
    std::vector<Candidate> candidates;
    for (std::size_t index = 0; index < m_holders.size(); ++index) {
        const Holder &holder = m_holders[index];
        if (!holder.isOpen)
            continue;
        if (const std::optional<int> rank = connectionRank(holder, now))
            candidates.push_back({*rank, holder.status.progressAt, index});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(left.rank, left.progressAt) < std::tie(right.rank, right.progressAt);
    });
    for (const Candidate &candidate : candidates) {
        if (m_connections <= withHeadroom(m_limits.connections.value()))
            return;
        shed.push_back(take(candidate.index));
    }
}

// The place stays in use until remove(), so that its id does not name another connection before.
ShedHolder ReceiveBudget::take(std::size_t index)
{
    Holder &holder = m_holders[index];
    holder.isOpen = false;
    m_heldBytes -= holder.status.bytes.value();
    --m_connections;
    return {HolderId(index), holder.status};
}

} // namespace dandeliondock
