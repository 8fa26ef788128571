#include <dandeliondock/distribution/lease_selection.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int leasesPerDataCentre = 2;

} // namespace

RowKey rootLeaseKey()
{
    return RowKey("lease/root/0");
}

std::vector<LeaseScope> leaseScopes(const RegionName &region, const DataCentreName &dataCentre,
                                    const RegionName &storeRegion)
{
    const bool nearStore = region == storeRegion;
    std::vector<LeaseScope> scopes{
            {rootLeaseKey(), LeaseKind::Root, nearStore ? Milliseconds(0) : remoteRootClaimDelay}};
    if (!nearStore)
        scopes.push_back({RowKey(absl::StrCat("lease/region/", region.value(), "/0")), LeaseKind::Region, {}});
    for (int i = 0; i < leasesPerDataCentre; ++i) {
        const RowKey key(absl::StrCat("lease/dc/", region.value(), "/", dataCentre.value(), "/", i));
        scopes.push_back({key, LeaseKind::DataCentre, {}});
    }
    return scopes;
}

LeaseSelection::LeaseSelection(std::vector<LeaseScope> scopes, const NodeId &self, const Address &controlAddress,
                               const RandomSource &random)
    : m_scopes(std::move(scopes)), m_address(controlAddress)
{
    for (const LeaseScope &scope : m_scopes)
        m_leases.emplace_back(self, controlAddress, random, scope.claimDelay);
}

LeaseSelectionStep LeaseSelection::next(MonotonicTime now, WallTime wall, bool candidate)
{
    const std::optional<std::size_t> holding = held(now);
    LeaseSelectionStep best{LeaseSelectionAction::Wait, now + leaseRenewInterval, 0, {}};
    if (!holding && !candidate)
        return best;
    for (std::size_t i = 0; i < m_leases.size(); ++i) {
        if (holding && i > *holding)
            break;
        const LeaseStep step = m_leases[i].next(now, wall);
        if (step.action == LeaseAction::Write)
            return {LeaseSelectionAction::Write, {}, i, step.write};
        if (step.action == LeaseAction::Read)
            best.action = LeaseSelectionAction::ReadAll;
        else
            best.until = std::min(best.until, step.until);
    }
    return best;
}

void LeaseSelection::onRead(const std::vector<VersionedLease> &rows, MonotonicTime now)
{
    for (std::size_t i = 0; i < m_leases.size(); ++i)
        m_leases[i].onRead(rows[i], now);
    m_heldAtLastContact = held(now).has_value();
}

void LeaseSelection::onReadFailed(MonotonicTime now)
{
    for (LeaseElector &lease : m_leases)
        lease.onReadFailed(now);
}

void LeaseSelection::onWrite(std::size_t scope, LeaseWriteResult result, MonotonicTime started, MonotonicTime now)
{
    m_leases[scope].onWrite(result, started, now);
    if (result == LeaseWriteResult::Committed || result == LeaseWriteResult::Refused)
        m_heldAtLastContact = held(now).has_value();
}

std::optional<std::size_t> LeaseSelection::held(MonotonicTime now) const
{
    for (std::size_t i = 0; i < m_leases.size(); ++i) {
        if (m_leases[i].held(now))
            return i;
    }
    return std::nullopt;
}

bool LeaseSelection::holdsRoot(MonotonicTime now) const
{
    const std::optional<std::size_t> holding = held(now);
    return holding && m_scopes[*holding].kind == LeaseKind::Root;
}

std::optional<HeldLease> LeaseSelection::rootTerm(MonotonicTime now) const
{
    if (!holdsRoot(now))
        return std::nullopt;
    const LeaseElector &lease = m_leases[*held(now)];
    return HeldLease{lease.fence(), *lease.heldUntil()};
}

void LeaseSelection::addHolders(LeaseKind kind, std::vector<Address> &holders) const
{
    const auto first = static_cast<std::ptrdiff_t>(holders.size());
    for (std::size_t i = 0; i < m_leases.size(); ++i) {
        const Address &holder = m_leases[i].holderAddress();
        if (m_scopes[i].kind == kind && !holder.value().empty() && holder != m_address)
            holders.push_back(holder);
    }
    // Half of the nodes begin with the second holder of a data centre.
    if (std::hash<Address>{}(m_address) % 2 == 1)
        std::reverse(holders.begin() + first, holders.end());
}

bool LeaseSelection::shouldReadLeases(const std::optional<Address> &parent, MonotonicTime now) const
{
    if (!parent)
        return true;
    const std::vector<Address> holders = higherHolders(now);
    return std::find(holders.begin(), holders.end(), *parent) != holders.end();
}

std::vector<Address> LeaseSelection::higherHolders(MonotonicTime now) const
{
    const std::optional<std::size_t> holding = held(now);
    std::vector<Address> holders;
    if (!holding)
        addHolders(LeaseKind::DataCentre, holders);
    if (!holding || m_scopes[*holding].kind == LeaseKind::DataCentre)
        addHolders(LeaseKind::Region, holders);
    addHolders(LeaseKind::Root, holders);
    return holders;
}

std::optional<LeaseSelectionStep> LeaseSelection::release(MonotonicTime now)
{
    const std::optional<std::size_t> holding = held(now);
    if (!holding)
        return std::nullopt;
    const std::optional<VersionedLease> row = m_leases[*holding].release(now);
    return LeaseSelectionStep{LeaseSelectionAction::Write, {}, *holding, *row};
}

} // namespace dandeliondock
