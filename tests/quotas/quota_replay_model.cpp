#include "quota_replay.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

namespace dandeliondock::testing {

namespace {

constexpr double sizeExponent = 1.2;
constexpr double largestDemand = 7.5;
constexpr ReplaySeconds reportTimeout = 0.3;
constexpr ReplaySeconds windowLength = 5;

AccountName nameOf(std::size_t account)
{
    return AccountName(absl::StrCat("account-", account));
}

} // namespace

double QuotaReplay::usualRate(std::size_t account)
{
    static const double sum = [] {
        double total = 0;
        for (std::size_t rank = 1; rank <= accountCount; ++rank)
            total += std::pow(static_cast<double>(rank), -sizeExponent);
        return total;
    }();
    return totalRate * std::pow(static_cast<double>(account + 1), -sizeExponent) / sum;
}

RequestQuota QuotaReplay::quotaOf(std::size_t account)
{
    const double rate = usualRate(account) * quotaFactor;
    return {RequestRate(rate), RequestAmount(rate)};
}

QuotaReplay::QuotaReplay(ReplayConditions conditions) : m_conditions(std::move(conditions)), m_random(m_conditions.seed)
{
    QuotaPeers peers;
    double sum = 0;
    for (std::size_t proxy = 0; proxy < proxyCount; ++proxy) {
        peers.push_back(peer(proxy));
        m_proxies.emplace_back(QuotaBounds{}, peer(proxy), m_random());
        sum += 0.25 + uniform() * 2; // the busiest proxy has 9 times the requests of the quietest
        m_weights.push_back(sum);
    }
    for (std::size_t proxy = 0; proxy < proxyCount; ++proxy) {
        m_proxies[proxy].choice.setPeers(peers);
        m_proxies[proxy].collector.setPeers(peers);
        applyQuotas(proxy);
        schedule(uniform() * 0.4, [this, proxy] { tickReport(proxy); });
        schedule(uniform() * 0.4, [this, proxy] { tickExchange(proxy); });
    }
    for (std::size_t account = 0; account < accountCount; ++account)
        scheduleArrival(account);
}

MonotonicTime QuotaReplay::now() const
{
    return MonotonicTime(std::chrono::hours(1) + Microseconds(static_cast<std::int64_t>(m_now * 1e6)));
}

double QuotaReplay::uniform()
{
    return static_cast<double>(m_random() >> 11) * 0x1.0p-53;
}

std::size_t QuotaReplay::indexOf(const Address &address) const
{
    std::size_t index = 0;
    while (peer(index).address != address)
        ++index;
    return index;
}

QuotaPeer QuotaReplay::peer(std::size_t proxy) const
{
    return {DataCentreName(absl::StrCat("dc-", dataCentreOf(proxy))),
            Address(absl::StrFormat("10.0.0.%03d:80", proxy))};
}

void QuotaReplay::schedule(ReplaySeconds delay, std::function<void()> work)
{
    m_events.push({m_now + delay, m_order++, std::move(work)});
}

const std::vector<ReplayRequest> &QuotaReplay::run()
{
    while (!m_events.empty() && m_events.top().at < m_conditions.duration) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    return m_requests;
}

void QuotaReplay::applyQuotas(std::size_t proxy)
{
    std::vector<double> factors;
    for (std::size_t account = 0; account < accountCount; ++account)
        factors.push_back(m_conditions.quota(account, proxy, m_now));
    if (factors == m_proxies[proxy].quotas)
        return;
    m_proxies[proxy].quotas = factors;
    std::vector<ClientAccount> accounts;
    for (std::size_t account = 0; account < accountCount; ++account) {
        ClientAccount &added = accounts.emplace_back();
        added.name = nameOf(account);
        const RequestQuota usual = quotaOf(account);
        added.quota = {RequestRate(usual.rate.value() * factors[account]),
                       RequestAmount(usual.burst.value() * factors[account])};
    }
    m_proxies[proxy].limiter.setQuotas(accounts);
    m_proxies[proxy].collector.setQuotas(accounts);
}

// Arrivals at the largest demand are thinned to the present one.
void QuotaReplay::scheduleArrival(std::size_t account)
{
    const double delay = -std::log(1 - uniform()) / (usualRate(account) * largestDemand);
    schedule(delay, [this, account] {
        if (uniform() * largestDemand < m_conditions.demand(account, m_now))
            arrive(account);
        scheduleArrival(account);
    });
}

void QuotaReplay::arrive(std::size_t account)
{
    const int placed = m_conditions.place(account, m_now);
    std::size_t proxy = 0;
    do {
        const double position = uniform() * m_weights.back();
        proxy = placed >= 0 ? static_cast<std::size_t>(placed)
                            : static_cast<std::size_t>(std::lower_bound(m_weights.begin(), m_weights.end(), position)
                                                       - m_weights.begin());
    } while (!m_conditions.isRunning(proxy, m_now));
    QuotaLimiter &limiter = m_proxies[proxy].limiter;
    const MonotonicTime admittedAt = now();
    const bool isAdmitted = limiter.admit(nameOf(account), admittedAt).isAdmitted;
    const bool isRun = isAdmitted && !m_conditions.isNotRun(account, m_now);
    m_requests.push_back({account, proxy, m_now, isAdmitted, isRun});
    if (isAdmitted && !isRun) {
        schedule(0.05, [this, account, proxy, admittedAt] {
            m_proxies[proxy].limiter.refund(nameOf(account), admittedAt, now());
        });
    }
}

// The receiving loop is usually less than 5 ms late, and up to 100 ms in 1 of 20 cases.
void QuotaReplay::send(std::size_t from, std::size_t to, std::function<void()> deliver)
{
    if (!m_conditions.isConnected(from, to, m_now))
        return;
    const bool isSameRegion = dataCentreOf(from) / 2 == dataCentreOf(to) / 2;
    const double lateness = uniform() < 0.05 ? uniform() * 0.1 : uniform() * 0.005;
    schedule((isSameRegion ? 0.0005 : 0.012) + lateness, [this, to, deliver = std::move(deliver)] {
        if (m_conditions.isRunning(to, m_now))
            deliver();
    });
}

void QuotaReplay::tickReport(std::size_t index)
{
    if (!m_conditions.isRunning(index, m_now) || !m_conditions.hasReports)
        return;
    applyQuotas(index);
    Proxy &proxy = m_proxies[index];
    const auto usage = proxy.limiter.report(now());
    if (usage && !proxy.isWaiting)
        sendReport(index, *usage);
    const double interval = std::chrono::duration<double>(proxy.limiter.reportInterval()).count();
    schedule(interval + uniform() * 0.02, [this, index] { tickReport(index); });
}

void QuotaReplay::sendReport(std::size_t index, const AccountUsages &usage)
{
    Proxy &proxy = m_proxies[index];
    const auto collector = proxy.choice.collectorOf(peer(index).dataCentre, now());
    if (!collector)
        return;
    const std::uint64_t sequence = ++proxy.sequence;
    const QuotaReport report{peer(index).address, {Incarnation(1), SequenceNumber(sequence)}, usage};
    const std::size_t to = indexOf(*collector);
    if (to == index) {
        proxy.collector.addReport(report, now());
        proxy.limiter.apply(proxy.collector.grants(now()), now());
        return;
    }
    proxy.isWaiting = true;
    send(index, to, [this, index, to, report, sequence] {
        m_proxies[to].collector.addReport(report, now());
        send(to, index, [this, index, sequence, grants = m_proxies[to].collector.grants(now())] {
            if (m_proxies[index].sequence != sequence)
                return;
            m_proxies[index].isWaiting = false;
            m_proxies[index].limiter.apply(grants, now());
        });
    });
    schedule(reportTimeout, [this, index, to, sequence] {
        Proxy &sender = m_proxies[index];
        if (sender.sequence != sequence || !sender.isWaiting || !m_conditions.isRunning(index, m_now))
            return;
        sender.choice.recordFailure(peer(to).address, now());
        sender.isWaiting = false;
        if (const auto latest = sender.limiter.report(now()))
            sendReport(index, *latest);
    });
}

QuotaSums QuotaReplay::sumsOf(std::size_t index)
{
    Proxy &proxy = m_proxies[index];
    QuotaSums sums{peer(index).address,
                   {Incarnation(1), SequenceNumber(++m_order)},
                   peer(index).dataCentre,
                   proxy.collector.sums(now())};
    ++m_exchangedMessages;
    m_exchangedEntries += sums.usage.size();
    return sums;
}

bool QuotaReplay::isCollecting(std::size_t index) const
{
    return m_proxies[index].choice.isFirst(peer(index)) || m_proxies[index].collector.hasReports(now());
}

void QuotaReplay::tickExchange(std::size_t index)
{
    if (!m_conditions.isRunning(index, m_now) || !m_conditions.hasReports)
        return;
    if (isCollecting(index))
        exchange(index);
    const double interval = std::chrono::duration<double>(m_proxies[index].limiter.reportInterval()).count();
    schedule(interval + uniform() * 0.02, [this, index] { tickExchange(index); });
}

void QuotaReplay::exchange(std::size_t index)
{
    for (const QuotaPeer &partner : m_proxies[index].choice.exchangePartners(peer(index))) {
        const std::size_t to = indexOf(partner.address);
        const auto isAnswered = std::make_shared<bool>(false);
        send(index, to, [this, index, to, isAnswered, sums = sumsOf(index)] {
            m_proxies[to].collector.addSums(sums, now());
            if (!isCollecting(to))
                return;
            send(to, index, [this, index, isAnswered, answer = sumsOf(to)] {
                *isAnswered = true;
                m_proxies[index].collector.addSums(answer, now());
            });
        });
        schedule(reportTimeout, [this, index, partner, isAnswered] {
            if (!*isAnswered)
                m_proxies[index].choice.recordExchangeFailure(partner);
        });
    }
}

double largestWindow(const std::vector<ReplayRequest> &requests, std::size_t account, double factor, ReplaySeconds from)
{
    const RequestQuota quota = QuotaReplay::quotaOf(account);
    const double bound = (quota.rate.value() * windowLength + quota.burst.value()) * factor * 1.1 + 20;
    std::deque<ReplaySeconds> window;
    std::size_t largest = 0;
    for (const ReplayRequest &request : requests) {
        if (request.account != account || !request.isRun || request.at < from)
            continue;
        window.push_back(request.at);
        while (window.front() < request.at - windowLength)
            window.pop_front();
        largest = std::max(largest, window.size());
    }
    return static_cast<double>(largest) / bound;
}

double servedRate(const std::vector<ReplayRequest> &requests, std::size_t account, ReplaySeconds from, ReplaySeconds to)
{
    const auto served = std::count_if(requests.begin(), requests.end(), [&](const ReplayRequest &request) {
        return request.account == account && request.isRun && request.at >= from && request.at < to;
    });
    return static_cast<double>(served) / (to - from) / QuotaReplay::quotaOf(account).rate.value();
}

double refusedPart(const std::vector<ReplayRequest> &requests,
                   const std::function<bool(const ReplayRequest &)> &isCounted)
{
    std::size_t all = 0;
    std::size_t refused = 0;
    for (const ReplayRequest &request : requests) {
        if (!isCounted(request))
            continue;
        ++all;
        refused += request.isAdmitted ? 0 : 1;
    }
    return all == 0 ? 0.0 : static_cast<double>(refused) / static_cast<double>(all);
}

std::size_t refusedBelow(const std::vector<ReplayRequest> &requests, double part)
{
    std::vector<std::deque<ReplaySeconds>> windows(QuotaReplay::accountCount);
    std::size_t count = 0;
    for (const ReplayRequest &request : requests) {
        std::deque<ReplaySeconds> &window = windows[request.account];
        window.push_back(request.at);
        while (window.front() < request.at - windowLength)
            window.pop_front();
        const double usable = QuotaReplay::quotaOf(request.account).rate.value() * windowLength;
        if (!request.isAdmitted && static_cast<double>(window.size()) < usable * part)
            ++count;
    }
    return count;
}

} // namespace dandeliondock::testing
