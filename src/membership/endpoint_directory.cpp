#include <dandeliondock/membership/endpoint_directory.h>

#include <dandeliondock/core/stable_hash.h>

#include <algorithm>
#include <iterator>
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

void EndpointDirectory::recordContact(const RegionName &region, MonotonicTime now)
{
    m_contacts[region] = now;
}

std::vector<TargetId> EndpointDirectory::expire(MonotonicTime now)
{
    expireTombstones(now);
    std::vector<TargetId> silent;
    const auto isOld = [&](const auto &contact) { return isSilent(contact.first, now); };
    // Called at every poll: without a silent region no record is looked at.
    if (std::none_of(m_contacts.begin(), m_contacts.end(), isOld))
        return silent;
    for (const auto &[target, entry] : m_entries) {
        if (!isTerminal(entry.record.stamp.state) && isSilent(entry.record.region, now))
            silent.push_back(target);
    }
    for (const TargetId &target : silent)
        erase(target);
    std::erase_if(m_contacts, isOld);
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

const Endpoint *EndpointDirectory::findNode(const Address &address, bool otherRegion) const
{
    const std::uint64_t hash = stableHash(address.value());
    for (auto node = m_nodes.lower_bound(NodeKey{otherRegion, hash, TargetId()}); node != m_nodes.end(); ++node) {
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

std::size_t EndpointDirectory::serving(const ServiceName &service, const VersionName &version) const
{
    const auto group = m_groups.find({service, version});
    return group == m_groups.end() ? 0 : group->second.serving;
}

std::vector<Address> EndpointDirectory::sampleControlAddresses(std::size_t count, std::uint64_t start) const
{
    std::vector<Address> addresses;
    const std::size_t wanted = std::min(count, m_liveInRegion);
    addresses.reserve(wanted);
    auto node = m_nodes.lower_bound(NodeKey{false, start, TargetId()});
    while (addresses.size() < wanted) {
        if (node == m_nodes.end() || std::get<0>(*node))
            node = m_nodes.begin();
        addresses.push_back(m_entries.at(std::get<2>(*node)).record.controlAddress);
        ++node;
    }
    return addresses;
}

std::vector<Endpoint> EndpointDirectory::summary() const
{
    std::vector<Endpoint> records;
    for (const auto &[key, group] : m_groups) {
        std::size_t left = m_limits.summaryPerVersion;
        for (auto item = group.ownRegion.begin(); item != group.ownRegion.end() && left > 0; ++item, --left)
            records.push_back(m_entries.at(item->second).record);
    }
    return records;
}

bool EndpointDirectory::isInSummary(const Endpoint &record) const
{
    const auto group = m_groups.find({record.service, record.version});
    if (group == m_groups.end())
        return false;
    std::size_t left = m_limits.summaryPerVersion;
    const auto &targets = group->second.ownRegion;
    for (auto item = targets.begin(); item != targets.end() && left > 0; ++item, --left) {
        if (item->second == record.target)
            return true;
    }
    return false;
}

void EndpointDirectory::put(const Endpoint &record, MonotonicTime now)
{
    const std::optional<GroupKey> left = summaryGroupOf(record.target);
    erase(record.target);
    m_version = DirectoryVersion(m_version.value() + 1);
    m_changes.emplace(m_version, record.target);
    if (isTerminal(record.stamp.state))
        m_tombstones.emplace(m_version, record.target);
    addToDigest(record);
    m_entries.emplace(record.target, Entry{record, m_version, now});
    addToIndexes(record);
    if (left && !isInSummary(record))
        noteSummaryEntry(*left);
    if (m_tombstones.size() > m_limits.tombstones)
        erase(TargetId(m_tombstones.begin()->second));
}

void EndpointDirectory::erase(const TargetId &target)
{
    const auto found = m_entries.find(target);
    if (found == m_entries.end())
        return;
    removeFromDigest(found->second.record);
    removeFromIndexes(found->second.record);
    m_changes.erase(found->second.changed);
    m_tombstones.erase(found->second.changed);
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
    m_nodes.insert(nodeKeyOf(record));
    if (record.region == m_ownRegion)
        ++m_liveInRegion;
    if (record.stamp.state == EndpointState::Serving)
        addToGroup(record);
}

void EndpointDirectory::removeFromIndexes(const Endpoint &record)
{
    if (isTerminal(record.stamp.state))
        return;
    m_nodes.erase(nodeKeyOf(record));
    if (record.region == m_ownRegion)
        --m_liveInRegion;
    if (record.stamp.state == EndpointState::Serving)
        removeFromGroup(record);
}

void EndpointDirectory::addToGroup(const Endpoint &record)
{
    Group &group = m_groups[{record.service, record.version}];
    ++group.serving;
    if (record.region == m_ownRegion)
        group.ownRegion.emplace(stableHash(record.target.value()), record.target);
}

void EndpointDirectory::removeFromGroup(const Endpoint &record)
{
    const auto found = m_groups.find({record.service, record.version});
    Group &group = found->second;
    --group.serving;
    group.ownRegion.erase({stableHash(record.target.value()), record.target});
    if (group.serving == 0)
        m_groups.erase(found);
}

std::optional<EndpointDirectory::GroupKey> EndpointDirectory::summaryGroupOf(const TargetId &target) const
{
    const Endpoint *held = find(target);
    if (held == nullptr || !isInSummary(*held))
        return std::nullopt;
    return GroupKey{held->service, held->version};
}

// The target that takes the place of one that left the summary counts as changed, because other regions were not sent
// it when it last changed.
void EndpointDirectory::noteSummaryEntry(const GroupKey &key)
{
    const auto group = m_groups.find(key);
    if (group == m_groups.end() || group->second.ownRegion.size() < m_limits.summaryPerVersion)
        return;
    const auto last =
            std::next(group->second.ownRegion.begin(), static_cast<std::ptrdiff_t>(m_limits.summaryPerVersion - 1));
    Entry &entry = m_entries.at(last->second);
    m_changes.erase(entry.changed);
    m_version = DirectoryVersion(m_version.value() + 1);
    m_changes.emplace(m_version, last->second);
    entry.changed = m_version;
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
        if (now - m_entries.at(target).mergedAt < m_limits.tombstoneTtl)
            return;
        erase(target);
    }
}

bool EndpointDirectory::isSilent(const RegionName &region, MonotonicTime now) const
{
    if (region == m_ownRegion)
        return false;
    const auto contact = m_contacts.find(region);
    return contact == m_contacts.end() || now - contact->second >= m_limits.regionSilence;
}

} // namespace dandeliondock
