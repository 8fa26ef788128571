#pragma once

#include <dandeliondock/membership/endpoint.h>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace dandeliondock {

/// \brief Position in the change order of one directory; not comparable between processes.
using DirectoryVersion = StrongType<struct DirectoryVersionTag, std::uint64_t>;

/// \brief Limits of an EndpointDirectory.
struct DirectoryLimits
{
    /// Time for which a tombstone (a Leaving or Gone record) is kept. Longer than a network partition lasts: when a
    /// subtree reconnects with an old record of the target, the tombstone must still be there to reject it.
    Milliseconds tombstoneTtl{900'000};
    Milliseconds regionTimeout{30'000}; ///< time without contact after which another region's records are dropped
    std::size_t maxTombstones = 8'192;
    std::size_t summaryTargetsPerVersion = 4; ///< most targets of one service and version in the summary
};

/// \brief The target records that a node holds: for each target the one with the highest stamp.
///
/// A record is live while its target is Starting or Serving; a Leaving or Gone record is a tombstone.
///
/// \remark Not thread-safe. Merging the same records in any order and any number of times gives the same content.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(RegionName ownRegion, DirectoryLimits limits = {});

    /// \brief Stores a record if it is newer than the one held for its target; counts as contact with its region.
    ///
    /// \return Whether the directory changed.
    bool merge(const Endpoint &record, MonotonicTime now);

    /// \brief Sets the state of a target to Gone, within its current incarnation and sequence.
    ///
    /// \return The record to relay; empty when the target is unknown or already Gone.
    std::optional<Endpoint> markGone(const TargetId &target, MonotonicTime now);

    /// \brief Records that an update of a region arrived, changed or not.
    void recordContact(const RegionName &region, MonotonicTime now);

    /// \brief Drops tombstones older than DirectoryLimits::tombstoneTtl, and the live records of other regions that had
    /// no contact for DirectoryLimits::regionTimeout.
    ///
    /// \return The targets whose live records were dropped.
    std::vector<TargetId> expire(MonotonicTime now);

    /// \brief Returns the record of a target; null if there is none. Valid until the next change.
    [[nodiscard]] const Endpoint *find(const TargetId &target) const;

    /// \brief Returns all records, tombstones included, in no particular order.
    [[nodiscard]] std::vector<Endpoint> all() const;

    /// \brief Returns the records that changed after \c version, oldest change first.
    [[nodiscard]] std::vector<Endpoint> changesSince(DirectoryVersion version) const;

    /// \brief Returns a live record whose node has this control address, preferably one of the own region; null if
    /// there is none. Valid until the next change.
    [[nodiscard]] const Endpoint *findByControlAddress(const Address &address) const;

    /// \brief Number of live targets of the own region.
    [[nodiscard]] std::size_t liveTargetsInRegion() const noexcept { return m_liveTargetsInRegion; }

    /// \brief Number of serving targets of a version, including the known ones of other regions.
    [[nodiscard]] std::size_t servingCount(const ServiceName &service, const VersionName &version) const;

    /// \brief Returns the control addresses of at most \c count nodes with live targets in the own region.
    /// \remark Nodes are ordered by the hash of their control address; the sample begins at hash \c start and wraps
    /// around. Nodes with neighbouring addresses are therefore not sampled together.
    [[nodiscard]] std::vector<Address> sampleControlAddresses(std::size_t count, std::uint64_t start) const;

    /// \brief Returns the serving targets of the own region that are sent to other regions: at most
    /// DirectoryLimits::summaryTargetsPerVersion for each service and version.
    ///
    /// \remark The choice depends on the content only, so that all relays of a region send the same targets.
    [[nodiscard]] std::vector<Endpoint> summary() const;

    /// \brief Whether the target of \c record is part of the summary.
    [[nodiscard]] bool isInSummary(const Endpoint &record) const;

    [[nodiscard]] DirectoryVersion version() const noexcept { return m_version; }

    /// \brief Sum of the hashes of the live records of the own region.
    ///
    /// \remark Tombstones are left out because nodes drop them at different times; records of other regions are left
    /// out because their expiry depends on when this node last had contact with the region.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_digest; }

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Entry
    {
        Endpoint record;
        DirectoryVersion changedIn;
        MonotonicTime mergedAt;
    };

    /// Serving targets of one service and version.
    struct Group
    {
        std::size_t servingCount = 0;                                         ///< of all regions
        absl::btree_set<std::pair<std::uint64_t, TargetId>> ownRegionTargets; ///< by hash of the target
    };

    using GroupKey = std::pair<ServiceName, VersionName>;
    /// Whether the node is in another region, hash of its control address, its target.
    using NodeKey = std::tuple<bool, std::uint64_t, TargetId>;

    void store(const Endpoint &record, MonotonicTime now);
    void erase(const TargetId &target);
    void addToIndexes(const Endpoint &record);
    void removeFromIndexes(const Endpoint &record);
    void addToGroup(const Endpoint &record);
    void removeFromGroup(const Endpoint &record);
    [[nodiscard]] std::optional<GroupKey> summaryGroupOf(const TargetId &target) const;
    void markSummaryEntryChanged(const GroupKey &key);
    [[nodiscard]] NodeKey nodeKeyOf(const Endpoint &record) const;
    [[nodiscard]] const Endpoint *findNode(const Address &address, bool otherRegion) const;
    void addToDigest(const Endpoint &record) noexcept;
    void removeFromDigest(const Endpoint &record) noexcept;
    void expireTombstones(MonotonicTime now);
    [[nodiscard]] bool isTimedOut(const RegionName &region, MonotonicTime now) const;

    RegionName m_ownRegion;
    DirectoryLimits m_limits;
    absl::flat_hash_map<TargetId, Entry> m_entries;
    std::map<DirectoryVersion, TargetId> m_changes;    ///< all records, by their last change
    std::map<DirectoryVersion, TargetId> m_tombstones; ///< by their last change
    std::map<RegionName, MonotonicTime> m_lastContacts;
    absl::btree_set<NodeKey> m_liveNodes;
    absl::btree_map<GroupKey, Group> m_groups;
    std::size_t m_liveTargetsInRegion = 0;
    DirectoryVersion m_version;
    std::uint64_t m_digest = 0;
};

/// \brief Whether a target in this state accepts no more requests in its current incarnation. Thread-safe.
[[nodiscard]] constexpr bool isTerminal(EndpointState state) noexcept
{
    return state == EndpointState::Leaving || state == EndpointState::Gone;
}

} // namespace dandeliondock
