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

/// \brief Position in one directory's own order of changes; meaningless to other processes.
using DirectoryVersion = StrongType<struct DirectoryVersionTag, std::uint64_t>;

/// \brief Bounds of a directory.
struct DirectoryLimits
{
    /// Longer than a partition: a subtree that returns with an old record must still meet the tombstone.
    Milliseconds tombstoneTtl{900'000};
    Milliseconds regionSilence{30'000};
    std::size_t tombstones = 8'192;
    std::size_t summaryPerVersion = 4;
};

/// \brief What a node knows of targets; the highest stamp of each target wins.
///
/// \remark Not thread-safe. Merging the same records in any order and any number of times gives the same content.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(RegionName ownRegion, DirectoryLimits limits = {});

    /// \brief Takes one record over when it is newer than the one held.
    ///
    /// \return Whether the directory changed.
    bool merge(const Endpoint &record, MonotonicTime now);

    /// \brief Marks a target gone at its incarnation.
    ///
    /// \return The record to relay; empty when the target is unknown or already gone.
    std::optional<Endpoint> markGone(const TargetId &target, MonotonicTime now);

    /// \brief Notes that news of a region arrived, even when nothing in it changed.
    void recordContact(const RegionName &region, MonotonicTime now);

    /// \brief Drops old tombstones and the records of other regions that were silent too long.
    ///
    /// \return The targets of the silent regions that were dropped.
    std::vector<TargetId> expire(MonotonicTime now);

    /// \brief The record of a target; null when none is held. Valid until the next change.
    [[nodiscard]] const Endpoint *find(const TargetId &target) const;

    /// \brief Every record, tombstones too, in no order.
    [[nodiscard]] std::vector<Endpoint> all() const;

    /// \brief The records that changed after \c version, oldest change first.
    [[nodiscard]] std::vector<Endpoint> changesSince(DirectoryVersion version) const;

    /// \brief The live record whose node has this control address; null when none is held. Valid until the next change.
    [[nodiscard]] const Endpoint *findByControlAddress(const Address &address) const;

    /// \brief Number of starting and serving targets of the own region.
    [[nodiscard]] std::size_t liveTargetsInRegion() const noexcept { return m_liveInRegion; }

    /// \brief Number of targets of a version that serve, those known of other regions too.
    [[nodiscard]] std::size_t serving(const ServiceName &service, const VersionName &version) const;

    /// \brief Control addresses of at most \c count live nodes of the own region.
    /// \remark The nodes follow \c start in an order by hash, so that neighbours by address are not drawn together.
    [[nodiscard]] std::vector<Address> sampleControlAddresses(std::size_t count, std::uint64_t start) const;

    /// \brief Serving targets of the own region for another region: a few of each service and version.
    ///
    /// \remark Which ones depends on the content only, so that every relay of a region names the same.
    [[nodiscard]] std::vector<Endpoint> summary() const;

    /// \brief Whether the record of a target is part of the summary.
    [[nodiscard]] bool isInSummary(const Endpoint &record) const;

    [[nodiscard]] DirectoryVersion version() const noexcept { return m_version; }

    /// \brief Sum over the starting and serving records of the own region.
    ///
    /// \remark Tombstones are left out because nodes drop them at different times; other regions' records are left out
    /// because they age by contact.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_digest; }

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Entry
    {
        Endpoint record;
        DirectoryVersion changed;
        MonotonicTime mergedAt;
    };

    /// Serving targets of one service and version.
    struct Group
    {
        std::size_t serving = 0;
        absl::btree_set<std::pair<std::uint64_t, TargetId>> ownRegion; ///< by hash of the target
    };

    using GroupKey = std::pair<ServiceName, VersionName>;
    /// Whether the node is of another region, hash of its control address, its target.
    using NodeKey = std::tuple<bool, std::uint64_t, TargetId>;

    void put(const Endpoint &record, MonotonicTime now);
    void erase(const TargetId &target);
    void addToIndexes(const Endpoint &record);
    void removeFromIndexes(const Endpoint &record);
    void addToGroup(const Endpoint &record);
    void removeFromGroup(const Endpoint &record);
    [[nodiscard]] std::optional<GroupKey> summaryGroupOf(const TargetId &target) const;
    void noteSummaryEntry(const GroupKey &key);
    [[nodiscard]] NodeKey nodeKeyOf(const Endpoint &record) const;
    [[nodiscard]] const Endpoint *findNode(const Address &address, bool otherRegion) const;
    void addToDigest(const Endpoint &record) noexcept;
    void removeFromDigest(const Endpoint &record) noexcept;
    void expireTombstones(MonotonicTime now);
    [[nodiscard]] bool isSilent(const RegionName &region, MonotonicTime now) const;

    RegionName m_ownRegion;
    DirectoryLimits m_limits;
    absl::flat_hash_map<TargetId, Entry> m_entries;
    std::map<DirectoryVersion, TargetId> m_changes;
    std::map<DirectoryVersion, TargetId> m_tombstones;
    std::map<RegionName, MonotonicTime> m_contacts;
    absl::btree_set<NodeKey> m_nodes; ///< of live records
    absl::btree_map<GroupKey, Group> m_groups;
    std::size_t m_liveInRegion = 0;
    DirectoryVersion m_version;
    std::uint64_t m_digest = 0;
};

/// \brief Whether a state takes no new work for ever in this incarnation. Thread-safe.
[[nodiscard]] constexpr bool isTerminal(EndpointState state) noexcept
{
    return state == EndpointState::Leaving || state == EndpointState::Gone;
}

} // namespace dandeliondock
