#include <dandeliondock/distribution/lease_duty.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int leasesPerDataCentre = 2;

} // namespace

std::vector<LeaseScope> leaseScopes(const RegionName &region, const DataCentreName &dataCentre,
                                    const RegionName &storeRegion)
{
    const bool nearStore = region == storeRegion;
    std::vector<LeaseScope> scopes{{RowKey("lease/root/0"), LeaseKind::Root, nearStore}};
    if (!nearStore)
        scopes.push_back({RowKey(absl::StrCat("lease/region/", region.value(), "/0")), LeaseKind::Region, true});
    for (int i = 0; i < leasesPerDataCentre; ++i) {
        const RowKey key(absl::StrCat("lease/dc/", region.value(), "/", dataCentre.value(), "/", i));
        scopes.push_back({key, LeaseKind::DataCentre, true});
    }
    return scopes;
}

LeaseDuty::LeaseDuty(std::vector<LeaseScope> scopes, const NodeId &self, const Address &controlAddress,
                     const RandomSource &random) :
    m_scopes(std::move(scopes)), m_address(controlAddress)
{
    for (std::size_t i = 0; i < m_scopes.size(); ++i)
        m_leases.emplace_back(self, controlAddress, random);
}

DutyStep LeaseDuty::next(MonotonicTime now, WallTime wall, bool candidate)
{
    const std::optional<std::size_t> holding = held(now);
    DutyStep best{DutyAction::Wait, now + leaseRenewal, 0, {}};
    if (!holding && !candidate)
        return best;
    for (std::size_t i = 0; i < m_leases.size(); ++i) {
        if (holding ? i != *holding : !m_scopes[i].claimable)
            continue;
        const LeaseStep step = m_leases[i].next(now, wall);
        if (step.action == LeaseAction::Write)
            return {DutyAction::Write, {}, i, step.write};
        if (step.action == LeaseAction::Read)
            best.action = DutyAction::ReadAll;
        else
            best.until = std::min(best.until, step.until);
    }
    return best;
}

void LeaseDuty::onRead(const std::vector<LeaseRow> &rows, MonotonicTime now)
{
    for (std::size_t i = 0; i < m_leases.size(); ++i)
        m_leases[i].onRead(rows[i], now);
}

void LeaseDuty::onReadFailed(MonotonicTime now)
{
    for (RelayLease &lease : m_leases)
        lease.onReadFailed(now);
}

void LeaseDuty::onWrite(std::size_t scope, LeaseWrite result, MonotonicTime started, MonotonicTime now)
{
    m_leases[scope].onWrite(result, started, now);
}

std::optional<std::size_t> LeaseDuty::held(MonotonicTime now) const
{
    for (std::size_t i = 0; i < m_leases.size(); ++i) {
        if (m_leases[i].held(now))
            return i;
    }
    return std::nullopt;
}

bool LeaseDuty::holdsRoot(MonotonicTime now) const
{
    const std::optional<std::size_t> holding = held(now);
    return holding && m_scopes[*holding].kind == LeaseKind::Root;
}

std::vector<Address> LeaseDuty::holdersOf(LeaseKind kind) const
{
    std::vector<Address> holders;
    for (std::size_t i = 0; i < m_leases.size(); ++i) {
        const Address &holder = m_leases[i].holderAddress();
        if (m_scopes[i].kind == kind && !holder.value().empty() && holder != m_address)
            holders.push_back(holder);
    }
    return holders;
}

std::vector<Address> LeaseDuty::superiors(MonotonicTime now) const
{
    const std::optional<std::size_t> holding = held(now);
    std::vector<Address> result;
    if (!holding)
        result = holdersOf(LeaseKind::DataCentre);
    if (result.empty() && (!holding || m_scopes[*holding].kind == LeaseKind::DataCentre))
        result = holdersOf(LeaseKind::Region);
    if (result.empty())
        result = holdersOf(LeaseKind::Root);
    return result;
}

std::optional<DutyStep> LeaseDuty::release(MonotonicTime now)
{
    const std::optional<std::size_t> holding = held(now);
    if (!holding)
        return std::nullopt;
    const std::optional<LeaseRow> row = m_leases[*holding].release(now);
    return DutyStep{DutyAction::Write, {}, *holding, *row};
}

} // namespace dandeliondock
