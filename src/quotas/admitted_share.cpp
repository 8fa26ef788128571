#include <dandeliondock/quotas/admitted_share.h>

#include <algorithm>
#include <cmath>

namespace dandeliondock {

namespace {

// Time over which what is left of the window is handed out. Shorter times overshoot, because the effect of a share is
// seen about 0.5 s later; longer times leave a part of the burst unused.
constexpr double correctionSeconds = 3.0;
// Time over which an excess is made up for. Shorter, because an excess may exceed the bound of the window.
constexpr double excessCorrectionSeconds = 0.6;
// Time until the next share takes effect at every proxy. An account whose requests of this time fit into the slack is
// not limited, so that the random arrivals of small accounts are not refused.
constexpr double lookaheadSeconds = 0.8;
// Part of the rate that an account gets even when more was admitted than the window allows, for example after its
// limit was lowered, so that it is not stopped altogether.
constexpr double leastRatePart = 0.3;
// Part of the burst that is handed out. What is admitted until a sudden rise of the demand is known is above what the
// share allows, and the rest of the burst covers a part of it.
constexpr double usedBurstPart = 0.7;
// The rest of the slack is left for what is admitted before the proxies have reported it.
constexpr double usedSlackPart = 0.4;

// Time over which the offered rate is measured, on average.
constexpr double demandSeconds = 0.3;

// Takes the rate of arrivals half a standard deviation lower than measured. Within such a short time chance alone
// brings several times the usual number of requests of an account of ten requests per second.
double likelyRate(double measured)
{
    const double count = measured * demandSeconds;
    return std::max(count - std::sqrt(count) / 2, 0.0) / demandSeconds;
}

} // namespace

Share admittedShare(const RequestQuota &quota, const QuotaBounds &bounds, const AccountUsage &usage, double weight)
{
    if (quota.isUnlimited() || usage.offered.value() <= 0)
        return fullShare;
    const double window = std::chrono::duration<double>(bounds.window).count();
    const double rate = quota.rate.value() * weight;
    // Groups of proxies that cannot reach each other get more of the slack than their weight, which is enough for the
    // random arrivals of small accounts; two groups together use at most 0.57 of it.
    const double slack = bounds.slack.value() * usedSlackPart * std::sqrt(weight);
    const double left =
            rate * window + quota.burst.value() * usedBurstPart * weight + slack - usage.admittedInWindow.value();
    const double offered = left >= 0 ? likelyRate(usage.offered.value()) : usage.offered.value();
    if (std::min(left, slack) >= offered * lookaheadSeconds)
        return fullShare;
    const double correction = left / (left >= 0 ? correctionSeconds : excessCorrectionSeconds);
    const double allowed = std::max(rate + correction, rate * leastRatePart);
    const double share = std::min(allowed / offered, 1.0);
    return Share(static_cast<std::uint32_t>(share * fullShare.value()));
}

} // namespace dandeliondock
