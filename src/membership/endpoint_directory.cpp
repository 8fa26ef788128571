#include <dandeliondock/membership/endpoint_directory.h>

#include <dandeliondock/core/stable_hash.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace dandeliondock {

namespace {

auto comparableContent(const Endpoint &record)
{
    return std::tie(record.stamp, record.address, record.controlAddress, record.service, record.version, record.region,
                    record.dataCentre, record.slots);
}

std::uint64_t recordHash(const Endpoint &record) noexcept
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
        m_lastContacts[record.region] = now;
    const auto found = m_entries.find(record.target);
    // Records with equal stamps and different content are ordered by content, so that the order of arrival does not
    // matter.
    if (found != m_entries.end() && comparableContent(record) <= comparableContent(found->second.record))
        return false;
    store(record, now);
    return true;
}

std::optional<Endpoint> EndpointDirectory::markGone(const TargetId &target, MonotonicTime now)
{
    const Endpoint *existing = find(target);
    if (existing == nullptr || existing->stamp.state == EndpointState::Gone)
        return std::nullopt;
    Endpoint gone = *existing;
    gone.stamp.state = EndpointState::Gone;
    store(gone, now);
    return gone;
}

void EndpointDirectory::recordContact(const RegionName &region, MonotonicTime now)
{
    m_lastContacts[region] = now;
}

std::vector<TargetId> EndpointDirectory::expire(MonotonicTime now)
{
    expireTombstones(now);
    std::vector<TargetId> expired;
    const auto contactTimedOut = [&](const auto &contact) { return isTimedOut(contact.first, now); };
    // Called at every poll, so the records are scanned only when a region has timed out.
    if (std::none_of(m_lastContacts.begin(), m_lastContacts.end(), contactTimedOut))
        return expired;
    for (const auto &[target, entry] : m_entries) {
        if (!isTerminal(entry.record.stamp.state) && isTimedOut(entry.record.region, now))
            expired.push_back(target);
    }
    for (const TargetId &target : expired)
        erase(target);
    std::erase_if(m_lastContacts, contactTimedOut);
    return expired;
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

const Endpoint *EndpointDirectory::findNode(const Address &address, bool otherRegion) const
{
    const std::uint64_t hash = stableHash(address.value());
    for (auto node = m_liveNodes.lower_bound(NodeKey{otherRegion, hash, TargetId()}); node != m_liveNodes.end();
         ++node) {
        if (std::get<0>(*node) != otherRegion || std::get<1>(*node) != hash)
            break;
        const Endpoint &record = m_entries.at(std::get<2>(*node)).record;
        if (record.controlAddress == address)
            return &record;
    }
    return nullptr;
}

const Endpoint *EndpointDirectory::findByControlAddress(const Address &address) const
{
    const Endpoint *own = findNode(address, false);
    return own != nullptr ? own : findNode(address, true);
}

std::size_t EndpointDirectory::servingCount(const ServiceName &service, const VersionName &version) const
{
    const auto group = m_groups.find({service, version});
    return group == m_groups.end() ? 0 : group->second.servingCount;
}

std::vector<Address> EndpointDirectory::sampleControlAddresses(std::size_t count, std::uint64_t start) const
{
    std::vector<Address> addresses;
    const std::size_t sampleSize = std::min(count, m_liveTargetsInRegion);
    addresses.reserve(sampleSize);
    auto node = m_liveNodes.lower_bound(NodeKey{false, start, TargetId()});
    while (addresses.size() < sampleSize) {
        if (node == m_liveNodes.end() || std::get<0>(*node))
            node = m_liveNodes.begin();
        addresses.push_back(m_entries.at(std::get<2>(*node)).record.controlAddress);
        ++node;
    }
    return addresses;
}

std::vector<Endpoint> EndpointDirectory::summary() const
{
    std::vector<Endpoint> records;
    for (const auto &[key, group] : m_groups) {
        std::size_t remaining = m_limits.summaryTargetsPerVersion;
        for (auto item = group.ownRegionTargets.begin(); item != group.ownRegionTargets.end() && remaining > 0;
             ++item, --remaining)
            records.push_back(m_entries.at(item->second).record);
    }
    return records;
}

bool EndpointDirectory::isInSummary(const Endpoint &record) const
{
    const auto group = m_groups.find({record.service, record.version});
    if (group == m_groups.end())
        return false;
    std::size_t remaining = m_limits.summaryTargetsPerVersion;
    const auto &targets = group->second.ownRegionTargets;
    for (auto item = targets.begin(); item != targets.end() && remaining > 0; ++item, --remaining) {
        if (item->second == record.target)
            return true;
    }
    return false;
}

void EndpointDirectory::store(const Endpoint &record, MonotonicTime now)
{
    const std::optional<GroupKey> previousGroup = summaryGroupOf(record.target);
    erase(record.target);
    m_version = DirectoryVersion(m_version.value() + 1);
    m_changes.emplace(m_version, record.target);
    if (isTerminal(record.stamp.state))
        m_tombstones.emplace(m_version, record.target);
    addToDigest(record);
    m_entries.emplace(record.target, Entry{record, m_version, now});
    addToIndexes(record);
    if (previousGroup && !isInSummary(record))
        markSummaryEntryChanged(*previousGroup);
    if (m_tombstones.size() > m_limits.maxTombstones)
        erase(TargetId(m_tombstones.begin()->second));
}

void EndpointDirectory::erase(const TargetId &target)
{
    const auto found = m_entries.find(target);
    if (found == m_entries.end())
        return;
    removeFromDigest(found->second.record);
    removeFromIndexes(found->second.record);
    m_changes.erase(found->second.changedIn);
    m_tombstones.erase(found->second.changedIn);
    m_entries.erase(found);
}

EndpointDirectory::NodeKey EndpointDirectory::nodeKeyOf(const Endpoint &record) const
{
    return {record.region != m_ownRegion, stableHash(record.controlAddress.value()), record.target};
}

void EndpointDirectory::addToIndexes(const Endpoint &record)
{
    if (isTerminal(record.stamp.state))
        return;
    m_liveNodes.insert(nodeKeyOf(record));
    if (record.region == m_ownRegion)
        ++m_liveTargetsInRegion;
    if (record.stamp.state == EndpointState::Serving)
        addToGroup(record);
}

void EndpointDirectory::removeFromIndexes(const Endpoint &record)
{
    if (isTerminal(record.stamp.state))
        return;
    m_liveNodes.erase(nodeKeyOf(record));
    if (record.region == m_ownRegion)
        --m_liveTargetsInRegion;
    if (record.stamp.state == EndpointState::Serving)
        removeFromGroup(record);
}

void EndpointDirectory::addToGroup(const Endpoint &record)
{
    Group &group = m_groups[{record.service, record.version}];
    ++group.servingCount;
    if (record.region == m_ownRegion)
        group.ownRegionTargets.emplace(stableHash(record.target.value()), record.target);
}

void EndpointDirectory::removeFromGroup(const Endpoint &record)
{
    const auto found = m_groups.find({record.service, record.version});
    Group &group = found->second;
    --group.servingCount;
    group.ownRegionTargets.erase({stableHash(record.target.value()), record.target});
    if (group.servingCount == 0)
        m_groups.erase(found);
}

std::optional<EndpointDirectory::GroupKey> EndpointDirectory::summaryGroupOf(const TargetId &target) const
{
    const Endpoint *existing = find(target);
    if (existing == nullptr || !isInSummary(*existing))
        return std::nullopt;
    return GroupKey{existing->service, existing->version};
}

// Marks the target that has just entered the group's part of the summary as changed, because it was outside the
// summary, and therefore not sent to other regions, when it last changed.
void EndpointDirectory::markSummaryEntryChanged(const GroupKey &key)
{
    const auto group = m_groups.find(key);
    if (group == m_groups.end() || group->second.ownRegionTargets.size() < m_limits.summaryTargetsPerVersion)
        return;
    const auto last = std::next(group->second.ownRegionTargets.begin(),
                                static_cast<std::ptrdiff_t>(m_limits.summaryTargetsPerVersion - 1));
    Entry &entry = m_entries.at(last->second);
    m_changes.erase(entry.changedIn);
    m_version = DirectoryVersion(m_version.value() + 1);
    m_changes.emplace(m_version, last->second);
    entry.changedIn = m_version;
}

void EndpointDirectory::addToDigest(const Endpoint &record) noexcept
{
    if (record.region == m_ownRegion && !isTerminal(record.stamp.state))
        m_digest += recordHash(record);
}

void EndpointDirectory::removeFromDigest(const Endpoint &record) noexcept
{
    if (record.region == m_ownRegion && !isTerminal(record.stamp.state))
        m_digest -= recordHash(record);
}

void EndpointDirectory::expireTombstones(MonotonicTime now)
{
    while (!m_tombstones.empty()) {
        const TargetId target = m_tombstones.begin()->second;
        if (now - m_entries.at(target).mergedAt < m_limits.tombstoneTtl)
            return;
        erase(target);
    }
}

bool EndpointDirectory::isTimedOut(const RegionName &region, MonotonicTime now) const
{
    if (region == m_ownRegion)
        return false;
    const auto contact = m_lastContacts.find(region);
    return contact == m_lastContacts.end() || now - contact->second >= m_limits.regionTimeout;
}

} // namespace dandeliondock
