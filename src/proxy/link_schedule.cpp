#include <dandeliondock/proxy/link_schedule.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::uint64_t microsecondsPerSecond = 1'000'000;

} // namespace

LinkSchedule::LinkSchedule(DataRate rate) : m_rate(rate) {}

Microseconds LinkSchedule::transferTime(ByteCount bytes) const noexcept
{
    if (m_rate.value() == 0)
        return Microseconds{0};
    return Microseconds(static_cast<std::int64_t>(bytes.value() * microsecondsPerSecond / m_rate.value()));
}

std::uint64_t LinkSchedule::grantSize() const noexcept
{
    if (m_rate.value() == 0)
        return maxGrant.value();
    const std::uint64_t bytes =
            m_rate.value() * static_cast<std::uint64_t>(Microseconds(grantTime).count()) / microsecondsPerSecond;
    return std::clamp(bytes, minGrant.value(), maxGrant.value());
}

void LinkSchedule::occupy(ByteCount bytes, MonotonicTime now)
{
    m_freeAt = std::max(m_freeAt, now) + transferTime(bytes);
}

void LinkSchedule::recordWritten(ByteCount bytes, MonotonicTime now)
{
    occupy(bytes, now);
}

TransferId LinkSchedule::begin(ByteCount size)
{
    const TransferId id(++m_lastTransfer);
    m_transfers.emplace(id, Transfer{size.value(), false});
    m_queued += size.value();
    return id;
}

void LinkSchedule::request(TransferId id)
{
    m_transfers.at(id).isRequested = true;
}

std::optional<TransferGrant> LinkSchedule::grant(MonotonicTime now)
{
    if (m_freeAt - now > maxLinkBacklog)
        return std::nullopt;
    const auto next = std::find_if(m_transfers.begin(), m_transfers.end(),
                                   [](const auto &item) { return item.second.isRequested; });
    if (next == m_transfers.end())
        return std::nullopt;
    Transfer &transfer = next->second;
    transfer.isRequested = false;
    const std::uint64_t queued = std::min(grantSize(), transfer.remaining);
    transfer.remaining -= queued;
    m_queued -= queued;
    // The size given to begin() leaves out some of the head, so that the last grant may exceed what remained.
    const ByteCount bytes(transfer.remaining > 0 ? queued : grantSize());
    occupy(ByteCount(queued), now);
    return TransferGrant{next->first, bytes};
}

std::optional<MonotonicTime> LinkSchedule::nextGrantAt() const
{
    const bool isAwaited = std::any_of(m_transfers.begin(), m_transfers.end(),
                                       [](const auto &item) { return item.second.isRequested; });
    if (!isAwaited)
        return std::nullopt;
    return m_freeAt - maxLinkBacklog;
}

void LinkSchedule::end(TransferId id)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end())
        return;
    m_queued -= found->second.remaining;
    m_transfers.erase(found);
}

LinkAdmission LinkSchedule::admit(ByteCount response, MonotonicTime deadline, MonotonicTime now) const noexcept
{
    const Microseconds ahead = backlog(now);
    if (response <= maxShortResponse || ahead <= maxLinkBacklog)
        return {};
    const Microseconds needed = ahead + transferTime(response);
    const Microseconds allowed = std::max<Microseconds>(deadline - now, Microseconds{0}) / linkWaitDivisor;
    if (needed <= allowed)
        return {};
    return {false, needed - allowed};
}

void LinkSchedule::reserve(ByteCount response) noexcept
{
    m_reserved += response.value();
}

void LinkSchedule::release(ByteCount response) noexcept
{
    m_reserved -= response.value();
}

Microseconds LinkSchedule::backlog(MonotonicTime now) const noexcept
{
    const Microseconds busy = std::max<Microseconds>(m_freeAt - now, Microseconds{0});
    return busy + transferTime(ByteCount(m_queued + m_reserved));
}

} // namespace dandeliondock
