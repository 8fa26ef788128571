#include <dandeliondock/quotas/quota_limiter.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

// An isolated proxy admits at most this multiple of its last admitted rate. Under normal load that rate is 1/1.6 of
// its part of the quota, so that isolated proxies together stay below the quota.
constexpr double isolatedShareFactor = 1.5;
// Requests that an isolated proxy admits at once, so that the random arrivals of normal load are not refused.
constexpr double isolatedBurst = 3;
constexpr double isolatedBurstSeconds = 0.5;
// Part of the slack that one proxy may use alone; the rest covers what the other proxies have not reported yet.
constexpr double localSlackPart = 0.5;
constexpr std::uint64_t phaseSteps = 1'000;
constexpr Milliseconds shortestRetryAfter{250};
constexpr Milliseconds longestRetryAfter{3'000};
// Requests that exceed the granted share by a factor have to be spread over that multiple of this time.
constexpr Milliseconds retrySpread{500};

Milliseconds retryAfterForShare(Share granted)
{
    const auto parts = std::max<std::int64_t>(granted.value(), 1);
    const Milliseconds wait = retrySpread * static_cast<std::int64_t>(fullShare.value()) / parts;
    return std::clamp(wait, shortestRetryAfter, longestRetryAfter);
}

} // namespace

QuotaLimiter::QuotaLimiter(const QuotaBounds &bounds, RandomSource random)
    : m_bounds(bounds), m_random(std::move(random))
{
}

void QuotaLimiter::setQuotas(const std::vector<ClientAccount> &accounts)
{
    absl::flat_hash_map<AccountName, Account> next;
    for (const ClientAccount &account : accounts) {
        if (account.quota.isUnlimited())
            continue;
        if (const auto known = m_accounts.find(account.name); known != m_accounts.end()) {
            known->second.quota = account.quota;
            next.emplace(account.name, std::move(known->second));
        } else {
            const double phase = static_cast<double>(uniformBelow(m_random, phaseSteps)) / phaseSteps;
            next.emplace(account.name, Account(account.quota, m_bounds.window, phase));
        }
    }
    m_accounts = std::move(next);
}

Microseconds QuotaLimiter::silence(MonotonicTime now) const
{
    return m_unansweredSince ? now - *m_unansweredSince : Microseconds{0};
}

TokenBucketLimits QuotaLimiter::bucketLimits(const Account &account, MonotonicTime now) const
{
    const RequestQuota &quota = account.quota;
    if (!isIsolated(now))
        return {quota.rate,
                RequestAmount(quota.burst.value() * (1 + m_bounds.excess) + m_bounds.slack.value() * localSlackPart)};
    double rate = quota.rate.value() / m_proxies;
    if (silence(now) <= lastShareLifetime)
        rate = std::clamp(account.lastShare.value() * isolatedShareFactor, rate, quota.rate.value());
    return {RequestRate(rate), RequestAmount(isolatedBurst + rate * isolatedBurstSeconds)};
}

QuotaDecision QuotaLimiter::admit(const AccountName &name, MonotonicTime now)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end())
        return {};
    Account &account = found->second;
    account.usage.recordOffered(now);
    const TokenBucketLimits limits = bucketLimits(account, now);
    if (!account.bucket.hasToken(limits, now))
        return {false, std::clamp(account.bucket.timeToToken(limits), shortestRetryAfter, longestRetryAfter)};
    if (account.granted < fullShare && !isIsolated(now)) {
        account.phase += static_cast<double>(account.granted.value()) / fullShare.value();
        if (account.phase < 1)
            return {false, retryAfterForShare(account.granted)};
        account.phase -= 1;
    }
    account.bucket.take();
    account.usage.recordAdmitted(now);
    return {};
}

void QuotaLimiter::refund(const AccountName &name, MonotonicTime admittedAt, MonotonicTime now)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end())
        return;
    found->second.usage.removeAdmitted(admittedAt, now);
    found->second.bucket.giveBack();
}

std::optional<AccountUsages> QuotaLimiter::report(MonotonicTime now)
{
    AccountUsages usages;
    for (auto &[name, account] : m_accounts) {
        if (!account.usage.hasTraffic(now))
            continue;
        usages.push_back({name, account.usage.offeredRate(now), account.usage.admittedRate(now),
                          account.usage.admittedInWindow(now)});
    }
    if (usages.empty())
        return std::nullopt;
    if (!m_unansweredSince)
        m_unansweredSince = now;
    return usages;
}

void QuotaLimiter::apply(const QuotaGrants &grants, MonotonicTime now)
{
    m_unansweredSince.reset();
    if (grants.proxies > 0)
        m_proxies = grants.proxies;
    const double window = std::chrono::duration<double>(m_bounds.window).count();
    for (auto &[name, account] : m_accounts) {
        account.granted = fullShare;
        account.lastShare = RequestRate(account.usage.admittedInWindow(now).value() / window);
    }
    m_isLimiting = false;
    for (const AccountGrant &grant : grants.accounts) {
        const auto found = m_accounts.find(grant.account);
        if (found == m_accounts.end())
            continue;
        found->second.granted = std::min(grant.admitted, fullShare);
        m_isLimiting = m_isLimiting || found->second.granted < fullShare;
    }
}

Milliseconds QuotaLimiter::reportInterval() const noexcept
{
    return m_isLimiting ? limitedQuotaReportInterval : quotaReportInterval;
}

} // namespace dandeliondock
