#pragma once

#include <dandeliondock/accounts/client_account.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/quotas/quota_bounds.h>
#include <dandeliondock/quotas/quota_decision.h>
#include <dandeliondock/quotas/quota_intervals.h>
#include <dandeliondock/quotas/quota_messages.h>
#include <dandeliondock/quotas/token_bucket.h>
#include <dandeliondock/quotas/usage_window.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Time without a response to a report after which a proxy keeps to the share that it had last.
inline constexpr Milliseconds quotaGrantLifetime{350};
/// \brief Time without a response after which a proxy keeps to an equal share of the quota, because the others use what
/// it had before.
inline constexpr Milliseconds lastShareLifetime{10'000};
/// \brief Number of proxies that is assumed before the first grant.
inline constexpr std::uint32_t assumedProxies = 100;

/// \brief Applies the request quotas at one proxy. Admits the granted part of each account's requests and, regardless
/// of grants, no more than the whole quota; without contact to a collector, no more than the last share.
///
/// \remark Not thread-safe; belongs to the traffic duty.
class QuotaLimiter
{
public:
    /// \param random sets the phase of each account, so that the proxies do not admit in step.
    QuotaLimiter(const QuotaBounds &bounds, RandomSource random);

    /// \brief Sets the quotas of all accounts. Accounts that stay keep their counts.
    void setQuotas(const std::vector<ClientAccount> &accounts);

    /// \brief Whether no account has a quota; nothing needs to be reported then.
    [[nodiscard]] bool isEmpty() const noexcept { return m_accounts.empty(); }

    /// \brief Counts a request of an account and decides whether it is served. Accounts without a quota are admitted.
    [[nodiscard]] QuotaDecision admit(const AccountName &account, MonotonicTime now);

    /// \brief Returns the quota of a request that admit() admitted at \c admittedAt and that did not reach a target.
    void refund(const AccountName &account, MonotonicTime admittedAt, MonotonicTime now);

    /// \brief Returns the usage to report; empty when no account had traffic in the last window.
    /// The report counts as unanswered until the next apply().
    [[nodiscard]] std::optional<AccountUsages> report(MonotonicTime now);

    /// \brief Applies the response of a collector to the latest report.
    void apply(const QuotaGrants &grants, MonotonicTime now);

    /// \brief Time from one report to the next.
    [[nodiscard]] Milliseconds reportInterval() const noexcept;

private:
    struct Account
    {
        Account(const RequestQuota &accountQuota, Milliseconds window, double initialPhase)
            : quota(accountQuota), usage(window), phase(initialPhase)
        {
        }

        RequestQuota quota;
        UsageWindow usage;
        TokenBucket bucket;
        Share granted = fullShare;
        double phase;          ///< accumulates the granted share of each request; a request is admitted at 1
        RequestRate lastShare; ///< admitted rate at the time of the last grants
    };

    /// Time since the oldest report without a response was made.
    [[nodiscard]] Microseconds silence(MonotonicTime now) const;
    [[nodiscard]] bool isIsolated(MonotonicTime now) const { return silence(now) > quotaGrantLifetime; }
    [[nodiscard]] TokenBucketLimits bucketLimits(const Account &account, MonotonicTime now) const;

    QuotaBounds m_bounds;
    RandomSource m_random;
    absl::flat_hash_map<AccountName, Account> m_accounts;
    std::optional<MonotonicTime> m_unansweredSince; ///< time of the oldest report without a response
    std::uint32_t m_proxies = assumedProxies;
    bool m_isLimiting = false;
};

} // namespace dandeliondock
