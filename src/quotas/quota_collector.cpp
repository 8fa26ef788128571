#include <dandeliondock/quotas/admitted_share.h>
#include <dandeliondock/quotas/quota_collector.h>
#include <dandeliondock/quotas/quota_intervals.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

double seconds(Microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

QuotaCollector::QuotaCollector(const QuotaBounds &bounds, QuotaPeer self) : m_bounds(bounds), m_self(std::move(self)) {}

void QuotaCollector::setQuotas(const std::vector<ClientAccount> &accounts)
{
    m_quotas.clear();
    for (const ClientAccount &account : accounts) {
        if (!account.quota.isUnlimited())
            m_quotas.emplace(account.name, account.quota);
    }
    m_refreshedAt.reset();
}

void QuotaCollector::setPeers(const QuotaPeers &peers)
{
    for (auto &[name, dataCentre] : m_dataCentres)
        dataCentre.proxies = 0;
    for (const QuotaPeer &peer : peers)
        ++m_dataCentres[peer.dataCentre].proxies;
    absl::erase_if(m_dataCentres, [](const auto &entry) { return entry.second.proxies == 0; });
    m_proxies = peers.size();
}

void QuotaCollector::store(Entries &entries, const Address &sender, Entry entry)
{
    const auto known = entries.find(sender);
    if (known != entries.end()) {
        if (known->second.stamp < entry.stamp)
            known->second = std::move(entry);
    } else if (entries.size() < maxQuotaSenders) {
        entries.emplace(sender, std::move(entry));
    }
}

void QuotaCollector::addReport(const QuotaReport &report, MonotonicTime now)
{
    store(m_reports, report.sender, {report.stamp, now, m_self.dataCentre, report.usage});
}

void QuotaCollector::addSums(const QuotaSums &sums, MonotonicTime now)
{
    if (sums.collector == m_self.address)
        return;
    store(m_sums, sums.collector, {sums.stamp, now, sums.dataCentre, sums.usage});
    if (const auto dataCentre = m_dataCentres.find(sums.dataCentre); dataCentre != m_dataCentres.end())
        dataCentre->second.heardAt = now;
}

// The counts go on to change at the last known rates until the entry is out of date. From then on the sender's demand
// counts as gone, and what it admitted leaves the window evenly.
AccountUsage QuotaCollector::estimate(const AccountUsage &usage, Microseconds age) const
{
    const double window = seconds(m_bounds.window);
    const double admitted = usage.admittedInWindow.value();
    const double leaving = admitted / window;
    const Microseconds fresh = std::min<Microseconds>(age, usageLifetime);
    const double estimated = admitted + usage.admitted.value() * seconds(fresh) - leaving * seconds(age);
    const bool isPresent = age <= usageLifetime;
    return {usage.account, isPresent ? usage.offered : RequestRate(0), isPresent ? usage.admitted : RequestRate(0),
            RequestAmount(std::max(estimated, 0.0))};
}

void QuotaCollector::addEntries(Entries &entries, MonotonicTime now, Totals &totals) const
{
    absl::erase_if(entries, [&](const auto &entry) { return now - entry.second.receivedAt > m_bounds.window; });
    for (const auto &[sender, entry] : entries) {
        // What is admitted in a separated data centre counts against the part that is reserved for it.
        if (!isReached(entry.dataCentre, now))
            continue;
        for (const AccountUsage &usage : entry.usage) {
            const AccountUsage present = estimate(usage, now - entry.receivedAt);
            AccountUsage &total = totals[usage.account];
            total.offered = RequestRate(total.offered.value() + present.offered.value());
            total.admitted = RequestRate(total.admitted.value() + present.admitted.value());
            total.admittedInWindow = RequestAmount(total.admittedInWindow.value() + present.admittedInWindow.value());
        }
    }
}

bool QuotaCollector::isReached(const DataCentreName &name, MonotonicTime now) const
{
    if (name == m_self.dataCentre)
        return true;
    const auto dataCentre = m_dataCentres.find(name);
    return dataCentre != m_dataCentres.end() && dataCentre->second.heardAt
           && now - *dataCentre->second.heardAt <= usageLifetime;
}

double QuotaCollector::weight(MonotonicTime now) const
{
    std::size_t reached = 0;
    bool isReserveOver = true;
    for (const auto &[name, dataCentre] : m_dataCentres) {
        if (isReached(name, now))
            reached += dataCentre.proxies;
        else if (now - dataCentre.heardAt.value_or(m_startedAt) <= reserveTime)
            isReserveOver = false;
    }
    if (reached >= m_proxies || reached == 0)
        return 1;
    if (isReserveOver && 2 * reached > m_proxies)
        return 1;
    return static_cast<double>(reached) / static_cast<double>(m_proxies);
}

void QuotaCollector::refresh(MonotonicTime now)
{
    if (m_refreshedAt && now - *m_refreshedAt < grantRefresh)
        return;
    if (m_startedAt == MonotonicTime())
        m_startedAt = now;
    m_refreshedAt = now;
    Totals totals;
    addEntries(m_reports, now, totals);
    m_ownTotals.clear();
    for (const auto &[name, total] : totals)
        m_ownTotals.push_back({name, total.offered, total.admitted, total.admittedInWindow});
    addEntries(m_sums, now, totals);
    const double part = weight(now);
    m_grants.accounts.clear();
    m_grants.proxies = static_cast<std::uint32_t>(m_proxies);
    for (auto &[name, total] : totals) {
        const auto quota = m_quotas.find(name);
        if (quota == m_quotas.end())
            continue;
        // A grant is applied for the first time on average half an interval from now.
        const AccountUsage present = estimate(total, limitedQuotaReportInterval / 2);
        if (const Share share = admittedShare(quota->second, m_bounds, present, part); share < fullShare)
            m_grants.accounts.push_back({name, share});
    }
}

bool QuotaCollector::hasReports(MonotonicTime now) const
{
    return std::any_of(m_reports.begin(), m_reports.end(),
                       [now](const auto &entry) { return now - entry.second.receivedAt <= usageLifetime; });
}

AccountUsages QuotaCollector::sums(MonotonicTime now)
{
    refresh(now);
    return m_ownTotals;
}

const QuotaGrants &QuotaCollector::grants(MonotonicTime now)
{
    refresh(now);
    return m_grants;
}

} // namespace dandeliondock
