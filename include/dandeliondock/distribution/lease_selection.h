#pragma once

#include <dandeliondock/distribution/lease_elector.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Interval at which the root reads the head row. The root is notified of an accepted ticket at once; the
/// periodic read covers notifications that were lost.
inline constexpr Milliseconds headReadInterval{500};

enum class LeaseKind { Root, Region, DataCentre };

/// \brief A lease that a node reads and may claim.
struct LeaseScope
{
    RowKey key;
    LeaseKind kind = LeaseKind::DataCentre;
    Milliseconds claimDelay{0}; ///< extra time for which a vacant lease is left to other nodes
};

/// \brief Claim delay for the root lease outside the store's region, so that a node near the store becomes the root.
inline constexpr Milliseconds remoteRootClaimDelay{12'000};

/// \brief Returns the key of the root lease, whose holder is also the rollout driver. Thread-safe.
[[nodiscard]] RowKey rootLeaseKey();

/// \brief Returns the leases that a node may claim, the highest first. Thread-safe.
///
/// \remark The store's region has no region lease; the root lease takes its place.
[[nodiscard]] std::vector<LeaseScope> leaseScopes(const RegionName &region, const DataCentreName &dataCentre,
                                                  const RegionName &storeRegion);

enum class LeaseSelectionAction { Wait, ReadAll, Write };

/// \brief Next step for the leases of a node.
struct LeaseSelectionStep
{
    LeaseSelectionAction action = LeaseSelectionAction::Wait;
    MonotonicTime until;   ///< for Wait: when to call next() again
    std::size_t scope = 0; ///< for Write: index of the lease
    VersionedLease write;  ///< for Write: the record, conditional on the row's version
};

/// \brief Claims the highest vacant lease of a node and renews it.
///
/// \remark The holder of a lease also claims a higher one that is vacant; it then stops renewing the lower one.
/// \remark Not thread-safe.
class LeaseSelection
{
public:
    LeaseSelection(std::vector<LeaseScope> scopes, const NodeId &self, const Address &controlAddress,
                   const RandomSource &random);

    /// \brief Returns the next step. A node that holds no lease waits unless \c readsLeases is set, see
    /// shouldReadLeases().
    [[nodiscard]] LeaseSelectionStep next(MonotonicTime now, WallTime wall, bool readsLeases);

    /// \brief Processes the lease rows that were read.
    /// \pre \c rows has one row for each scope, in the order of scopes().
    void onRead(const std::vector<VersionedLease> &rows, MonotonicTime now);
    /// \brief Records that the rows could not be read; the next read follows after about leaseRenewInterval.
    void onReadFailed(MonotonicTime now);
    /// \brief Processes the result of writing the lease with index \c scope.
    /// \pre next() returned that write at \c started.
    void onWrite(std::size_t scope, LeaseWriteResult result, MonotonicTime started, MonotonicTime now);

    /// \brief Returns the index of the highest lease held at \c now; empty when none is held.
    [[nodiscard]] std::optional<std::size_t> held(MonotonicTime now) const;

    /// \brief Whether the highest lease held at \c now is the root lease.
    [[nodiscard]] bool holdsRoot(MonotonicTime now) const;

    /// \brief Returns the fencing token and expiry of the root lease; empty when it is not held.
    [[nodiscard]] std::optional<HeldLease> rootLease(MonotonicTime now) const;

    /// \brief Whether the node held a lease when the store last responded. While the store is unreachable the node
    /// still starts the path of its subtree, so that its region keeps working; relaying needs no fencing token.
    [[nodiscard]] bool heldAtLastContact() const noexcept { return m_heldAtLastContact; }

    /// \brief Whether a node with this parent reads the lease rows. It does so without a parent or as the child of a
    /// lease holder. Other nodes do not, so that the number of reads depends on the number of leases, not of nodes.
    [[nodiscard]] bool shouldReadLeases(const std::optional<Address> &parent, MonotonicTime now) const;

    /// \brief Returns the control addresses of the holders of higher leases that can be this node's parent, the next
    /// higher kind of lease first.
    [[nodiscard]] std::vector<Address> higherHolders(MonotonicTime now) const;

    /// \brief Gives up the held lease and returns the write that releases it; empty when none is held. Call it after a
    /// read, so that the write names the row's current version.
    [[nodiscard]] std::optional<LeaseSelectionStep> release(MonotonicTime now);

    [[nodiscard]] const std::vector<LeaseScope> &scopes() const noexcept { return m_scopes; }

private:
    void addHolders(LeaseKind kind, std::vector<Address> &holders) const;

    std::vector<LeaseScope> m_scopes;
    std::vector<LeaseElector> m_electors;
    Address m_controlAddress;
    bool m_heldAtLastContact = false;
};

} // namespace dandeliondock
