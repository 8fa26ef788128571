#pragma once

#include <dandeliondock/accounts/authentication.h>
#include <dandeliondock/config/config_lease.h>
#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/message.h>
#include <dandeliondock/proxy/config_confirmed.h>
#include <dandeliondock/proxy/header_names.h>
#include <dandeliondock/proxy/proxy_config.h>

#include <functional>
#include <optional>

namespace dandeliondock {

/// \brief Dependencies of the key check. The pointers are not owned and must outlive it.
struct KeyCheckDependencies
{
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    HeaderNames headerNames;
    std::optional<Milliseconds> withdrawalBound; ///< time after which a withdrawn key must not be accepted
    std::function<BootTime()> now = &BootClock::now;
};

/// \brief Checks the keys of requests against the configuration in force while the lease on it is held.
///
/// \remark Not thread-safe.
class KeyCheck
{
public:
    explicit KeyCheck(KeyCheckDependencies dependencies);

    /// \brief Extends the lease. Has no effect if the configuration in force is older than the confirmed one, because
    /// keys may have been withdrawn in between.
    void confirm(const ConfigConfirmed &confirmed, const ProxyConfig &inForce);

    /// \brief Checks the key of a request. The account of the result is valid as long as the configuration.
    [[nodiscard]] Authentication check(const ProxyConfig &config, const Route &route, const HttpHeaders &headers);

    /// \brief Removes the key and any account that the client named, and names the account of the request.
    /// \pre The hop-by-hop headers have been removed; a client could otherwise have the account removed as one of them.
    void rewriteHeaders(const Authentication &authentication, HttpHeaders &headers) const;

private:
    [[nodiscard]] bool isConfirmed();
    void logLease(LogLevel level, absl::string_view event, BootTime now) const;

    KeyCheckDependencies m_dependencies;
    ConfigLease m_lease;
};

} // namespace dandeliondock
