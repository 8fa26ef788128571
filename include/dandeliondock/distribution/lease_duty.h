#pragma once

#include <dandeliondock/distribution/relay_lease.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace dandeliondock {

enum class LeaseKind { Root, Region, DataCentre };

/// \brief A lease that a node reads, and may claim.
struct LeaseScope
{
    RowKey key;
    LeaseKind kind = LeaseKind::DataCentre;
    bool claimable = true;
};

/// \brief The leases that concern a node, the highest first. Thread-safe.
///
/// \remark In the store's region the root takes the region lease's place.
[[nodiscard]] std::vector<LeaseScope> leaseScopes(const RegionName &region, const DataCentreName &dataCentre,
                                                  const RegionName &storeRegion);

enum class DutyAction { Wait, ReadAll, Write };

/// \brief What to do for the leases.
struct DutyStep
{
    DutyAction action = DutyAction::Wait;
    MonotonicTime until;   ///< of Wait
    std::size_t scope = 0; ///< of Write: index of the lease
    LeaseRow write;        ///< of Write
};

/// \brief Claims at most one of a node's leases and keeps it.
///
/// \remark One thread at a time.
class LeaseDuty
{
public:
    LeaseDuty(std::vector<LeaseScope> scopes, const NodeId &self, const Address &controlAddress,
              const RandomSource &random);

    /// \brief The next step; only a candidate reads the rows and claims a vacant lease.
    [[nodiscard]] DutyStep next(MonotonicTime now, WallTime wall, bool candidate);

    /// \pre \c rows has a row for each scope, in order.
    void onRead(const std::vector<LeaseRow> &rows, MonotonicTime now);
    void onReadFailed(MonotonicTime now);
    void onWrite(std::size_t scope, LeaseWrite result, MonotonicTime started, MonotonicTime now);

    /// \brief Index of the lease held at \c now.
    [[nodiscard]] std::optional<std::size_t> held(MonotonicTime now) const;

    [[nodiscard]] bool holdsRoot(MonotonicTime now) const;

    /// \brief Holders that this node may take as its parent, by its own place in the tree.
    [[nodiscard]] std::vector<Address> superiors(MonotonicTime now) const;

    /// \brief The write that releases the lease held; call after a read.
    [[nodiscard]] std::optional<DutyStep> release(MonotonicTime now);

    [[nodiscard]] const std::vector<LeaseScope> &scopes() const noexcept { return m_scopes; }

private:
    [[nodiscard]] std::vector<Address> holdersOf(LeaseKind kind) const;

    std::vector<LeaseScope> m_scopes;
    std::vector<RelayLease> m_leases;
    Address m_address;
};

} // namespace dandeliondock
