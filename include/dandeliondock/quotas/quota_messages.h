#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/quotas/account_usage.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace dandeliondock {

/// \brief Orders the messages of one sender; a restarted sender has a higher incarnation.
struct QuotaStamp
{
    Incarnation incarnation;
    SequenceNumber sequence;

    auto operator<=>(const QuotaStamp &) const = default;
};

/// \brief Usage at one proxy, for the collector of its data centre.
struct QuotaReport
{
    Address sender; ///< inbound address of the proxy
    QuotaStamp stamp;
    AccountUsages usage;

    bool operator==(const QuotaReport &) const = default;
};

/// \brief Usage at all proxies that report to one collector, for the other collectors.
struct QuotaSums
{
    Address collector; ///< inbound address of the collector
    QuotaStamp stamp;
    DataCentreName dataCentre; ///< of the collector
    AccountUsages usage;

    bool operator==(const QuotaSums &) const = default;
};

/// \brief Part of an account's requests that each proxy may admit.
struct AccountGrant
{
    AccountName account;
    Share admitted = fullShare;

    bool operator==(const AccountGrant &) const = default;
};

/// \brief Response of a collector to a report. Accounts without a grant are not near their limit.
struct QuotaGrants
{
    std::vector<AccountGrant> accounts;
    std::uint32_t proxies = 0; ///< number of serving proxies in all data centres; 0 when unknown

    bool operator==(const QuotaGrants &) const = default;
};

} // namespace dandeliondock
