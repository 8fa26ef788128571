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
    const bool inStoreRegion = region == storeRegion;
    std::vector<LeaseScope> scopes{
            {rootLeaseKey(), LeaseKind::Root, inStoreRegion ? Milliseconds(0) : remoteRootClaimDelay}};
    if (!inStoreRegion)
        scopes.push_back({RowKey(absl::StrCat("lease/region/", region.value(), "/0")), LeaseKind::Region, {}});
    for (int i = 0; i < leasesPerDataCentre; ++i) {
        const RowKey key(absl::StrCat("lease/dc/", region.value(), "/", dataCentre.value(), "/", i));
        scopes.push_back({key, LeaseKind::DataCentre, {}});
    }
    return scopes;
}

LeaseSelection::LeaseSelection(std::vector<LeaseScope> scopes, const NodeId &self, const Address &controlAddress,
                               const RandomSource &random)
    : m_scopes(std::move(scopes)), m_controlAddress(controlAddress)
{
    for (const LeaseScope &scope : m_scopes)
        m_electors.emplace_back(self, controlAddress, random, scope.claimDelay);
}

LeaseSelectionStep LeaseSelection::next(MonotonicTime now, WallTime wall, bool readsLeases)
{
    const std::optional<std::size_t> heldIndex = held(now);
    LeaseSelectionStep nextStep{LeaseSelectionAction::Wait, now + leaseRenewInterval, 0, {}};
    if (!heldIndex && !readsLeases)
        return nextStep;
    for (std::size_t i = 0; i < m_electors.size(); ++i) {
        if (heldIndex && i > *heldIndex)
            break;
        const LeaseStep step = m_electors[i].next(now, wall);
        if (step.action == LeaseAction::Write)
            return {LeaseSelectionAction::Write, {}, i, step.write};
        if (step.action == LeaseAction::Read)
            nextStep.action = LeaseSelectionAction::ReadAll;
        else
            nextStep.until = std::min(nextStep.until, step.until);
    }
    return nextStep;
}

void LeaseSelection::onRead(const std::vector<VersionedLease> &rows, MonotonicTime now)
{
    for (std::size_t i = 0; i < m_electors.size(); ++i)
        m_electors[i].onRead(rows[i], now);
    m_heldAtLastContact = held(now).has_value();
}

void LeaseSelection::onReadFailed(MonotonicTime now)
{
    for (LeaseElector &elector : m_electors)
        elector.onReadFailed(now);
}

void LeaseSelection::onWrite(std::size_t scope, LeaseWriteResult result, MonotonicTime started, MonotonicTime now)
{
    m_electors[scope].onWrite(result, started, now);
    if (result == LeaseWriteResult::Committed || result == LeaseWriteResult::Refused)
        m_heldAtLastContact = held(now).has_value();
}

std::optional<std::size_t> LeaseSelection::held(MonotonicTime now) const
{
    for (std::size_t i = 0; i < m_electors.size(); ++i) {
        if (m_electors[i].held(now))
            return i;
    }
    return std::nullopt;
}

bool LeaseSelection::holdsRoot(MonotonicTime now) const
{
    const std::optional<std::size_t> heldIndex = held(now);
    return heldIndex && m_scopes[*heldIndex].kind == LeaseKind::Root;
}

std::optional<HeldLease> LeaseSelection::rootLease(MonotonicTime now) const
{
    if (!holdsRoot(now))
        return std::nullopt;
    const LeaseElector &elector = m_electors[*held(now)];
    return HeldLease{elector.fence(), *elector.heldUntil()};
}

void LeaseSelection::addHolders(LeaseKind kind, std::vector<Address> &holders) const
{
    const auto first = static_cast<std::ptrdiff_t>(holders.size());
    for (std::size_t i = 0; i < m_electors.size(); ++i) {
        const Address &holder = m_electors[i].holderAddress();
        if (m_scopes[i].kind == kind && !holder.value().empty() && holder != m_controlAddress)
            holders.push_back(holder);
    }
    // Half of the nodes try the second holder of a data centre first, which spreads the nodes over both holders.
    if (std::hash<Address>{}(m_controlAddress) % 2 == 1)
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
    const std::optional<std::size_t> heldIndex = held(now);
    std::vector<Address> holders;
    if (!heldIndex)
        addHolders(LeaseKind::DataCentre, holders);
    if (!heldIndex || m_scopes[*heldIndex].kind == LeaseKind::DataCentre)
        addHolders(LeaseKind::Region, holders);
    addHolders(LeaseKind::Root, holders);
    return holders;
}

std::optional<LeaseSelectionStep> LeaseSelection::release(MonotonicTime now)
{
    const std::optional<std::size_t> heldIndex = held(now);
    if (!heldIndex)
        return std::nullopt;
    const std::optional<VersionedLease> row = m_electors[*heldIndex].release(now);
    return LeaseSelectionStep{LeaseSelectionAction::Write, {}, *heldIndex, *row};
}

} // namespace dandeliondock
