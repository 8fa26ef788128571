#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/proxy/peer_message.h>
#include <dandeliondock/proxy/proxy_config.h>
#include <dandeliondock/quotas/collector_choice.h>
#include <dandeliondock/quotas/quota_collector.h>
#include <dandeliondock/quotas/quota_messages.h>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/string_view.h>

#include <functional>
#include <optional>
#include <string>

namespace dandeliondock {

/// \brief Time in which a collector must respond. Within a data centre a response takes about 1 ms, and up to 0.2 s
/// when both event loops are late.
inline constexpr Milliseconds quotaCallTimeout{300};

/// \brief Response to a message of another proxy.
struct PeerResponse
{
    int status = 0;
    std::string body;
};

/// \brief Dependencies of the quota exchange. The pointers are not owned and must outlive it.
struct QuotaExchangeDependencies
{
    EventLoop *loop = nullptr;
    AsyncHttpClient *client = nullptr;
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    RandomSource random;
    QuotaPeer self;
    Incarnation incarnation;
    QuotaBounds bounds;
    /// Returns the serving proxies of all data centres.
    std::function<QuotaPeers()> peers;
    /// Called with the response to each report.
    std::function<void(const QuotaGrants &)> onGrants;
};

/// \brief Sends the usage at this proxy to the collector of its data centre, and acts as a collector for others.
///
/// Sends nothing while the configuration has no quotas.
///
/// \remark Belongs to the control duty's thread.
class QuotaExchange
{
public:
    explicit QuotaExchange(QuotaExchangeDependencies dependencies);

    /// \brief Applies the quotas of a configuration unless its revision is not newer than the current one.
    void setConfig(const ProxyConfigPtr &config);

    /// \brief Reports the usage at this proxy to its collector. While a report is in progress, the usage is kept and
    /// sent only if that report fails.
    void report(AccountUsages usage);

    /// \brief Handles a message of another proxy. The status is 400 for a malformed message, and 404 for sums that
    /// reach a proxy which collects nothing. \pre The kind is QuotaReport or QuotaSums.
    [[nodiscard]] PeerResponse handle(PeerMessageKind kind, absl::string_view body);

private:
    [[nodiscard]] PeerResponse handleReport(absl::string_view body);
    [[nodiscard]] PeerResponse handleSums(absl::string_view body);
    [[nodiscard]] PeerResponse refuse(const absl::Status &status);
    [[nodiscard]] bool isCollecting() const;
    [[nodiscard]] QuotaStamp nextStamp();
    [[nodiscard]] QuotaSums sums();
    /// Grants of this collector, with a log line for each account that becomes limited.
    const QuotaGrants &grants();
    void refreshPeers();
    void scheduleTick();
    void tick();
    void exchangeWith(const QuotaPeer &partner);
    void handleSumsResult(const QuotaPeer &partner, const AsyncCallResult &result);
    void sendReport();
    void handleReportResult(const Address &collector, const AsyncCallResult &result);
    void call(const Address &address, PeerMessageKind kind, std::string body, AsyncCallHandler handler);

    QuotaExchangeDependencies m_dependencies;
    QuotaCollector m_collector;
    CollectorChoice m_choice;
    ProxyConfigPtr m_config;
    AccountUsages m_usage; ///< latest usage at this proxy
    SequenceNumber m_sequence;
    LoopTimer m_tickTimer;
    absl::flat_hash_set<Address> m_openExchanges; ///< partners whose response is awaited
    absl::flat_hash_set<AccountName> m_limited;   ///< accounts in the latest grants of this collector
    LogRateLimiter m_limitLog;
    LogRateLimiter m_refusalLog;
    bool m_isReporting = false;
};

} // namespace dandeliondock
