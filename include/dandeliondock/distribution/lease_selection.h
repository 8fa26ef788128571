#pragma once

#include <dandeliondock/distribution/lease_elector.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Time between the root's reads of the head. Accepted tickets are made known to the root at once; reading at an
/// interval covers news that was lost on the way.
inline constexpr Milliseconds headReadInterval{500};

enum class LeaseKind { Root, Region, DataCentre };

/// \brief A lease that a node reads, and may claim.
struct LeaseScope
{
    RowKey key;
    LeaseKind kind = LeaseKind::DataCentre;
    Milliseconds claimDelay{0}; ///< time for which a vacant lease is left to others
};

/// \brief A node outside the store's region leaves a vacant root lease to the nodes near the store for this time.
inline constexpr Milliseconds remoteRootClaimDelay{12'000};

/// \brief Key of the root's lease, which is also the rollout driver's. Thread-safe.
[[nodiscard]] RowKey rootLeaseKey();

/// \brief The leases that concern a node, the highest first. Thread-safe.
///
/// \remark In the store's region the root takes the region lease's place.
[[nodiscard]] std::vector<LeaseScope> leaseScopes(const RegionName &region, const DataCentreName &dataCentre,
                                                  const RegionName &storeRegion);

enum class LeaseSelectionAction { Wait, ReadAll, Write };

/// \brief What to do for the leases.
struct LeaseSelectionStep
{
    LeaseSelectionAction action = LeaseSelectionAction::Wait;
    MonotonicTime until;   ///< of Wait
    std::size_t scope = 0; ///< of Write: index of the lease
    VersionedLease write;  ///< of Write
};

/// \brief Claims the highest vacant lease of a node and keeps it.
///
/// \remark The holder of a lease also claims a higher one that is vacant; the lower one is then no longer renewed.
/// \remark One thread at a time.
class LeaseSelection
{
public:
    LeaseSelection(std::vector<LeaseScope> scopes, const NodeId &self, const Address &controlAddress,
                   const RandomSource &random);

    /// \brief The next step; only a candidate reads the rows and claims a vacant lease.
    [[nodiscard]] LeaseSelectionStep next(MonotonicTime now, WallTime wall, bool candidate);

    /// \pre \c rows has a row for each scope, in order.
    void onRead(const std::vector<VersionedLease> &rows, MonotonicTime now);
    void onReadFailed(MonotonicTime now);
    void onWrite(std::size_t scope, LeaseWriteResult result, MonotonicTime started, MonotonicTime now);

    /// \brief Index of the lease held at \c now.
    [[nodiscard]] std::optional<std::size_t> held(MonotonicTime now) const;

    [[nodiscard]] bool holdsRoot(MonotonicTime now) const;

    /// \brief The term of the root lease; empty when it is not held.
    [[nodiscard]] std::optional<HeldLease> rootTerm(MonotonicTime now) const;

    /// \brief Whether the node held a lease when the store last answered. While the store is away the node keeps its
    /// place as the top of its subtree, so that a region goes on; relaying needs no fence.
    [[nodiscard]] bool heldAtLastContact() const noexcept { return m_heldAtLastContact; }

    /// \brief Whether a node with this parent reads the leases: one without a parent, or a child of a holder. Other
    /// nodes do not, which bounds the reads by the number of leases and not of nodes.
    [[nodiscard]] bool shouldReadLeases(const std::optional<Address> &parent, MonotonicTime now) const;

    /// \brief Holders that this node may take as its parent, the nearest rank above its own place first.
    [[nodiscard]] std::vector<Address> higherHolders(MonotonicTime now) const;

    /// \brief The write that releases the lease held; call after a read.
    [[nodiscard]] std::optional<LeaseSelectionStep> release(MonotonicTime now);

    [[nodiscard]] const std::vector<LeaseScope> &scopes() const noexcept { return m_scopes; }

private:
    void addHolders(LeaseKind kind, std::vector<Address> &holders) const;

    std::vector<LeaseScope> m_scopes;
    std::vector<LeaseElector> m_leases;
    Address m_address;
    bool m_heldAtLastContact = false;
};

} // namespace dandeliondock
