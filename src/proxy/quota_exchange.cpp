#include <dandeliondock/codec/quota_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/quota_exchange.h>
#include <dandeliondock/quotas/quota_intervals.h>

#include <utility>

namespace dandeliondock {

namespace {

constexpr int statusOk = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
// Keeps the exchanges of different proxies from falling into step.
constexpr std::uint64_t jitterMilliseconds = 20;

} // namespace

QuotaExchange::QuotaExchange(QuotaExchangeDependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_collector(m_dependencies.bounds, m_dependencies.self)
{
}

void QuotaExchange::setConfig(const ProxyConfigPtr &config)
{
    if (m_config && config->state->revision() <= m_config->state->revision())
        return;
    m_config = config;
    const bool wasEmpty = m_collector.isEmpty();
    m_collector.setQuotas(config->accounts.accounts());
    if (wasEmpty && !m_collector.isEmpty()) {
        refreshPeers();
        scheduleTick();
    }
}

void QuotaExchange::refreshPeers()
{
    QuotaPeers peers = m_dependencies.peers();
    m_collector.setPeers(peers);
    m_choice.setPeers(std::move(peers));
}

void QuotaExchange::scheduleTick()
{
    const Milliseconds interval = m_limited.empty() ? quotaReportInterval : limitedQuotaReportInterval;
    const Milliseconds jitter(static_cast<std::int64_t>(uniformBelow(m_dependencies.random, jitterMilliseconds)));
    m_tickTimer = m_dependencies.loop->after(interval + jitter, [this] { tick(); });
}

void QuotaExchange::tick()
{
    if (m_collector.isEmpty())
        return;
    refreshPeers();
    if (isCollecting()) {
        for (const QuotaPeer &partner : m_choice.exchangePartners(m_dependencies.self))
            exchangeWith(partner);
    }
    scheduleTick();
}

bool QuotaExchange::isCollecting() const
{
    return m_choice.isFirst(m_dependencies.self) || m_collector.hasReports(EventLoop::now());
}

QuotaStamp QuotaExchange::nextStamp()
{
    m_sequence = SequenceNumber(m_sequence.value() + 1);
    return {m_dependencies.incarnation, m_sequence};
}

QuotaSums QuotaExchange::sums()
{
    return {m_dependencies.self.address, nextStamp(), m_dependencies.self.dataCentre,
            m_collector.sums(EventLoop::now())};
}

void QuotaExchange::call(const Address &address, PeerMessageKind kind, std::string body, AsyncCallHandler handler)
{
    AsyncCallOptions options;
    options.deadline = EventLoop::now() + quotaCallTimeout;
    m_dependencies.client->send(address, encodePeerMessage(kind, std::move(body)), options, std::move(handler));
}

void QuotaExchange::exchangeWith(const QuotaPeer &partner)
{
    if (!m_openExchanges.insert(partner.address).second)
        return;
    m_dependencies.metrics->counter("quota_exchanges_total").add();
    call(partner.address, PeerMessageKind::QuotaSums, encodeQuotaSums(sums()),
         [this, partner](const AsyncCallResult &result) { handleSumsResult(partner, result); });
}

void QuotaExchange::handleSumsResult(const QuotaPeer &partner, const AsyncCallResult &result)
{
    m_openExchanges.erase(partner.address);
    if (!result.status.ok() || result.response.status != statusOk) {
        m_choice.recordExchangeFailure(partner);
        return;
    }
    if (const auto sums = decodeQuotaSums(result.response.body); sums.ok())
        m_collector.addSums(*sums, EventLoop::now());
}

void QuotaExchange::report(AccountUsages usage)
{
    m_usage = std::move(usage);
    if (!m_isReporting)
        sendReport();
}

void QuotaExchange::sendReport()
{
    const MonotonicTime now = EventLoop::now();
    const auto collector = m_choice.collectorOf(m_dependencies.self.dataCentre, now);
    const QuotaReport report{m_dependencies.self.address, nextStamp(), m_usage};
    if (!collector || *collector == m_dependencies.self.address) {
        m_collector.addReport(report, now);
        m_dependencies.onGrants(grants());
        return;
    }
    m_isReporting = true;
    m_dependencies.metrics->counter("quota_reports_total").add();
    call(*collector, PeerMessageKind::QuotaReport, encodeQuotaReport(report),
         [this, collector](const AsyncCallResult &result) {
             m_isReporting = false;
             handleReportResult(*collector, result);
         });
}

void QuotaExchange::handleReportResult(const Address &collector, const AsyncCallResult &result)
{
    absl::Status status = result.status;
    if (status.ok() && result.response.status == statusOk) {
        const auto granted = decodeQuotaGrants(result.response.body);
        if (granted.ok()) {
            m_dependencies.onGrants(*granted);
            return;
        }
        status = granted.status();
    }
    m_dependencies.metrics->counter("quota_collectors_lost_total").add();
    LogEvent event(LogLevel::Warn, "quota.collector_lost");
    event.field("collector", collector).field("status", result.response.status);
    if (!status.ok())
        event.error(status);
    event.write(m_dependencies.log);
    m_choice.recordFailure(collector, EventLoop::now());
    sendReport();
}

PeerResponse QuotaExchange::handle(PeerMessageKind kind, absl::string_view body)
{
    return kind == PeerMessageKind::QuotaReport ? handleReport(body) : handleSums(body);
}

PeerResponse QuotaExchange::handleReport(absl::string_view body)
{
    const auto report = decodeQuotaReport(body);
    if (!report.ok())
        return refuse(report.status());
    m_collector.addReport(*report, EventLoop::now());
    return {statusOk, encodeQuotaGrants(grants())};
}

PeerResponse QuotaExchange::handleSums(absl::string_view body)
{
    const auto received = decodeQuotaSums(body);
    if (!received.ok())
        return refuse(received.status());
    m_collector.addSums(*received, EventLoop::now());
    if (!isCollecting())
        return {notFound, {}};
    return {statusOk, encodeQuotaSums(sums())};
}

PeerResponse QuotaExchange::refuse(const absl::Status &status)
{
    if (m_refusalLog.allow(EventLoop::now(), m_dependencies.log))
        LogEvent(LogLevel::Warn, "quota.message_refused").error(status).write(m_dependencies.log);
    return {badRequest, {}};
}

const QuotaGrants &QuotaExchange::grants()
{
    const MonotonicTime now = EventLoop::now();
    const QuotaGrants &current = m_collector.grants(now);
    if (current.accounts.empty() && m_limited.empty())
        return current;
    absl::flat_hash_set<AccountName> limited;
    for (const AccountGrant &grant : current.accounts) {
        limited.insert(grant.account);
        if (!m_limited.contains(grant.account) && m_limitLog.allow(now, m_dependencies.log))
            LogEvent(LogLevel::Info, "quota.limited")
                    .field("account", grant.account)
                    .field("share", grant.admitted)
                    .write(m_dependencies.log);
    }
    m_limited = std::move(limited);
    m_dependencies.metrics->gauge("quota_limited_accounts").set(static_cast<std::int64_t>(m_limited.size()));
    return current;
}

} // namespace dandeliondock
