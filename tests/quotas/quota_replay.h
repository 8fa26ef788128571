#pragma once

#include <dandeliondock/accounts/client_account.h>
#include <dandeliondock/quotas/collector_choice.h>
#include <dandeliondock/quotas/quota_collector.h>
#include <dandeliondock/quotas/quota_limiter.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace dandeliondock::testing {

/// \brief Time since the start of a replay, in seconds.
using ReplaySeconds = double;

/// \brief Conditions of a replay. The defaults describe normal load without failures.
struct ReplayConditions
{
    std::uint64_t seed = 20261204;
    ReplaySeconds duration = 30;
    /// Demand of an account as a multiple of its usual rate.
    std::function<double(std::size_t account, ReplaySeconds at)> demand = [](std::size_t, ReplaySeconds) {
        return 1.0;
    };
    /// Chooses the proxy of a request instead of the usual distribution; -1 for the usual one.
    std::function<int(std::size_t account, ReplaySeconds at)> place = [](std::size_t, ReplaySeconds) { return -1; };
    std::function<bool(std::size_t proxy, ReplaySeconds at)> isRunning = [](std::size_t, ReplaySeconds) {
        return true;
    };
    std::function<bool(std::size_t from, std::size_t to, ReplaySeconds at)> isConnected =
            [](std::size_t, std::size_t, ReplaySeconds) { return true; };
    /// Quota of an account as a multiple of the usual one, as known at a proxy.
    std::function<double(std::size_t account, std::size_t proxy, ReplaySeconds at)> quota =
            [](std::size_t, std::size_t, ReplaySeconds) { return 1.0; };
    /// Whether an admitted request of the account ends without having been executed.
    std::function<bool(std::size_t account, ReplaySeconds at)> isNotRun = [](std::size_t, ReplaySeconds) {
        return false;
    };
    /// Whether reports and grants are exchanged at all.
    bool hasReports = true;
};

/// \brief A request of a replay.
struct ReplayRequest
{
    std::size_t account = 0;
    std::size_t proxy = 0;
    ReplaySeconds at = 0;
    bool isAdmitted = false;
    bool isRun = false;
};

/// \brief Replays the requests of 82 client accounts at 80 proxies in 4 data centres of 2 regions through the decision
/// modules, without a network. Messages take 0.5 ms, or 12 ms between regions, and event loops are up to 100 ms late.
class QuotaReplay
{
public:
    static constexpr std::size_t proxyCount = 80;
    static constexpr std::size_t accountCount = 82;
    static constexpr std::size_t dataCentreCount = 4;
    static constexpr double totalRate = 1'255;
    static constexpr double quotaFactor = 1.6;

    explicit QuotaReplay(ReplayConditions conditions);

    /// \brief Runs the replay and returns all requests in the order of their arrival.
    const std::vector<ReplayRequest> &run();

    [[nodiscard]] static double usualRate(std::size_t account);
    [[nodiscard]] static RequestQuota quotaOf(std::size_t account);
    [[nodiscard]] static std::size_t dataCentreOf(std::size_t proxy) { return proxy / (proxyCount / dataCentreCount); }

    /// \brief Number of messages between proxies of different data centres.
    [[nodiscard]] std::size_t exchangedMessages() const { return m_exchangedMessages; }

    /// \brief Sum of the account entries in these messages.
    [[nodiscard]] std::size_t exchangedEntries() const { return m_exchangedEntries; }

private:
    struct Proxy
    {
        Proxy(QuotaBounds bounds, const QuotaPeer &self, std::uint64_t seed)
            : limiter(bounds, seededRandom(seed)), collector(bounds, self)
        {
        }

        QuotaLimiter limiter;
        QuotaCollector collector;
        CollectorChoice choice;
        std::uint64_t sequence = 0;
        std::uint64_t answered = 0; ///< highest sequence with a response
        bool isWaiting = false;     ///< a report has no response yet
        std::vector<double> quotas; ///< factors in force
    };
    struct Event
    {
        ReplaySeconds at;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(const Event &other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void schedule(ReplaySeconds delay, std::function<void()> work);
    void scheduleArrival(std::size_t account);
    void arrive(std::size_t account);
    void tickReport(std::size_t proxy);
    void sendReport(std::size_t proxy, const AccountUsages &usage);
    void tickExchange(std::size_t proxy);
    void exchange(std::size_t proxy);
    [[nodiscard]] bool isCollecting(std::size_t proxy) const;
    void send(std::size_t from, std::size_t to, std::function<void()> deliver);
    void applyQuotas(std::size_t proxy);
    [[nodiscard]] MonotonicTime now() const;
    [[nodiscard]] double uniform();
    [[nodiscard]] std::size_t indexOf(const Address &address) const;
    [[nodiscard]] QuotaPeer peer(std::size_t proxy) const;
    [[nodiscard]] QuotaSums sumsOf(std::size_t proxy);

    ReplayConditions m_conditions;
    std::mt19937_64 m_random;
    std::vector<Proxy> m_proxies;
    std::vector<double> m_weights; ///< cumulative shares of the proxies in the requests
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    ReplaySeconds m_now = 0;
    std::vector<ReplayRequest> m_requests;
    std::size_t m_exchangedMessages = 0;
    std::size_t m_exchangedEntries = 0;
};

/// \brief Largest number of requests of an account that ran in a window that begins at or after \c from, as a multiple
/// of the bound (rate x window + burst) x 1.1 + 20.
[[nodiscard]] double largestWindow(const std::vector<ReplayRequest> &requests, std::size_t account,
                                   double quotaFactor = 1, ReplaySeconds from = 0);

/// \brief Requests per second that ran in a time, as a multiple of the account's quota rate.
[[nodiscard]] double servedRate(const std::vector<ReplayRequest> &requests, std::size_t account, ReplaySeconds from,
                                ReplaySeconds to);

/// \brief Part of the requests of a time that were refused.
[[nodiscard]] double refusedPart(const std::vector<ReplayRequest> &requests,
                                 const std::function<bool(const ReplayRequest &)> &isCounted);

/// \brief Number of refused requests of accounts whose offered requests in the last 5 s were less than \c part of
/// rate x 5 s.
[[nodiscard]] std::size_t refusedBelow(const std::vector<ReplayRequest> &requests, double part);

} // namespace dandeliondock::testing
