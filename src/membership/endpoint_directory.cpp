#include <dandeliondock/membership/endpoint_directory.h>

#include <dandeliondock/core/stable_hash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace dandeliondock {

namespace {

auto contentOf(const Endpoint &record)
{
    return std::tie(record.stamp, record.address, record.controlAddress, record.service, record.version, record.region,
                    record.dataCentre, record.slots);
}

std::uint64_t hashOf(const Endpoint &record) noexcept
{
    const std::uint64_t stamp = stableCombine(record.stamp.incarnation.value(), record.stamp.sequence.value());
    const std::uint64_t state = stableCombine(stamp, static_cast<std::uint64_t>(record.stamp.state));
    return stableHash(record.target.value(), state);
}

} // namespace

EndpointDirectory::EndpointDirectory(RegionName ownRegion, DirectoryLimits limits)
    : m_ownRegion(std::move(ownRegion)), m_limits(limits)
{
}

bool EndpointDirectory::merge(const Endpoint &record, MonotonicTime now)
{
    if (record.region != m_ownRegion)
        m_contacts[record.region] = now;
    const auto found = m_entries.find(record.target);
    // Records of one stamp that differ are ordered by content, so that the order of arrival never matters.
    if (found != m_entries.end() && contentOf(record) <= contentOf(found->second.record))
        return false;
    put(record, now);
    return true;
}

std::optional<Endpoint> EndpointDirectory::markGone(const TargetId &target, MonotonicTime now)
{
    const Endpoint *held = find(target);
    if (held == nullptr || held->stamp.state == EndpointState::Gone)
        return std::nullopt;
    Endpoint gone = *held;
    gone.stamp.state = EndpointState::Gone;
    put(gone, now);
    return gone;
}

void EndpointDirectory::noteContact(const RegionName &region, MonotonicTime now)
{
    m_contacts[region] = now;
}

std::vector<TargetId> EndpointDirectory::expire(MonotonicTime now)
{
    expireTombstones(now);
    std::vector<TargetId> silent;
    for (const auto &[target, entry] : m_entries) {
        if (isSilent(entry.record, now))
            silent.push_back(target);
    }
    for (const TargetId &target : silent)
        erase(target);
    return silent;
}

const Endpoint *EndpointDirectory::find(const TargetId &target) const
{
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<Endpoint> EndpointDirectory::all() const
{
    std::vector<Endpoint> records;
    records.reserve(m_entries.size());
    for (const auto &[target, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

std::vector<Endpoint> EndpointDirectory::changesSince(DirectoryVersion version) const
{
    std::vector<Endpoint> records;
    for (auto change = m_changes.upper_bound(version); change != m_changes.end(); ++change)
        records.push_back(m_entries.at(change->second).record);
    return records;
}

std::vector<Endpoint> EndpointDirectory::summary() const
{
    std::map<std::pair<ServiceName, VersionName>, std::vector<const Endpoint *>> groups;
    for (const auto &[target, entry] : m_entries) {
        if (entry.record.region == m_ownRegion && entry.record.stamp.state == EndpointState::Serving)
            groups[{entry.record.service, entry.record.version}].push_back(&entry.record);
    }
    std::vector<Endpoint> records;
    for (auto &[key, group] : groups) {
        std::sort(group.begin(), group.end(), [](const Endpoint *left, const Endpoint *right) {
            const auto order = [](const Endpoint &item) { return stableHash(item.target.value()); };
            return std::pair(order(*left), left->target) < std::pair(order(*right), right->target);
        });
        const std::size_t count = std::min(group.size(), m_limits.summaryPerVersion);
        for (std::size_t index = 0; index < count; ++index)
            records.push_back(*group[index]);
    }
    return records;
}

void EndpointDirectory::put(const Endpoint &record, MonotonicTime now)
{
    erase(record.target);
    m_version = DirectoryVersion(m_version.value() + 1);
    m_changes.emplace(m_version, record.target);
    if (isTerminal(record.stamp.state))
        m_tombstones.emplace(m_version, record.target);
    addToDigest(record);
    m_entries.emplace(record.target, Entry{record, m_version, now});
    if (m_tombstones.size() > m_limits.tombstones)
        erase(TargetId(m_tombstones.begin()->second));
}

void EndpointDirectory::erase(const TargetId &target)
{
    const auto found = m_entries.find(target);
    if (found == m_entries.end())
        return;
    removeFromDigest(found->second.record);
    m_changes.erase(found->second.changed);
    m_tombstones.erase(found->second.changed);
    m_entries.erase(found);
}

void EndpointDirectory::addToDigest(const Endpoint &record) noexcept
{
    if (record.region == m_ownRegion && !isTerminal(record.stamp.state))
        m_digest += hashOf(record);
}

void EndpointDirectory::removeFromDigest(const Endpoint &record) noexcept
{
    if (record.region == m_ownRegion && !isTerminal(record.stamp.state))
        m_digest -= hashOf(record);
}

void EndpointDirectory::expireTombstones(MonotonicTime now)
{
    while (!m_tombstones.empty()) {
        const TargetId target = m_tombstones.begin()->second;
        if (now - m_entries.at(target).mergedAt < m_limits.tombstoneLife)
            return;
        erase(target);
    }
}

bool EndpointDirectory::isSilent(const Endpoint &record, MonotonicTime now) const
{
    if (record.region == m_ownRegion || isTerminal(record.stamp.state))
        return false;
    const auto contact = m_contacts.find(record.region);
    return contact == m_contacts.end() || now - contact->second >= m_limits.regionSilence;
}

} // namespace dandeliondock
