#pragma once

#include <dandeliondock/accounts/client_account.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/quotas/quota_bounds.h>
#include <dandeliondock/quotas/quota_messages.h>
#include <dandeliondock/quotas/quota_peer.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Age from which a report, or the sums of another collector, no longer tell the present demand: two intervals.
inline constexpr Milliseconds usageLifetime{800};
/// \brief Age of the calculated grants above which they are calculated again.
inline constexpr Milliseconds grantRefresh{100};
/// \brief Time without contact after which the part of a data centre returns to the others, if these are the majority
/// of the proxies: longer than the usual interruptions of a link.
inline constexpr Milliseconds reserveTime{15'000};
/// \brief Largest number of senders whose reports or sums are kept.
inline constexpr std::size_t maxQuotaSenders = 1'024;

/// \brief Sums the usage that the proxies of a data centre report and that the collectors of the other data centres
/// have summed, and grants the part of each account's requests that the proxies may admit.
///
/// Reports carry the counts of the whole window, so that a lost report costs nothing and a new collector is complete
/// after one interval. Every collector calculates the grants for its own proxies from nearly the same sums.
///
/// While a data centre is out of contact, its part of the quota by number of proxies is reserved for it, and its own
/// collector grants no more than that part. The two sides cannot exceed the quota together.
///
/// \remark Not thread-safe; belongs to the control duty.
class QuotaCollector
{
public:
    QuotaCollector(const QuotaBounds &bounds, QuotaPeer self);

    /// \brief Sets the quotas of all accounts; others are not granted.
    void setQuotas(const std::vector<ClientAccount> &accounts);

    /// \brief Whether no account has a quota.
    [[nodiscard]] bool isEmpty() const noexcept { return m_quotas.empty(); }

    /// \brief Sets the serving proxies, whose numbers are the reserved parts of their data centres.
    void setPeers(const QuotaPeers &peers);

    /// \brief Applies the report of a proxy unless it is older than the one applied last.
    void addReport(const QuotaReport &report, MonotonicTime now);

    /// \brief Applies the sums of another collector unless they are older than those applied last.
    void addSums(const QuotaSums &sums, MonotonicTime now);

    /// \brief Whether any proxy has reported recently.
    [[nodiscard]] bool hasReports(MonotonicTime now) const;

    /// \brief Returns the usage at the proxies that report to this collector, estimated for \c now.
    [[nodiscard]] AccountUsages sums(MonotonicTime now);

    /// \brief Returns the grants of the accounts that are near their limit.
    [[nodiscard]] const QuotaGrants &grants(MonotonicTime now);

private:
    /// Usage as received from one sender.
    struct Entry
    {
        QuotaStamp stamp;
        MonotonicTime receivedAt;
        DataCentreName dataCentre;
        AccountUsages usage;
    };
    using Entries = absl::flat_hash_map<Address, Entry>;
    using Totals = absl::btree_map<AccountName, AccountUsage>;
    struct DataCentre
    {
        std::size_t proxies = 0;
        std::optional<MonotonicTime> heardAt; ///< when sums of a collector there were last received
    };

    static void store(Entries &entries, const Address &sender, Entry entry);
    void refresh(MonotonicTime now);
    void addEntries(Entries &entries, MonotonicTime now, Totals &totals) const;
    /// Whether a data centre is in contact with this one.
    [[nodiscard]] bool isReached(const DataCentreName &dataCentre, MonotonicTime now) const;
    [[nodiscard]] AccountUsage estimate(const AccountUsage &usage, Microseconds age) const;
    [[nodiscard]] double weight(MonotonicTime now) const;

    QuotaBounds m_bounds;
    QuotaPeer m_self;
    absl::flat_hash_map<AccountName, RequestQuota> m_quotas;
    absl::flat_hash_map<DataCentreName, DataCentre> m_dataCentres;
    std::size_t m_proxies = 0;
    MonotonicTime m_startedAt; ///< time of the first refresh()
    Entries m_reports;         ///< by proxy
    Entries m_sums;            ///< by collector
    std::optional<MonotonicTime> m_refreshedAt;
    AccountUsages m_ownTotals;
    QuotaGrants m_grants;
};

} // namespace dandeliondock
