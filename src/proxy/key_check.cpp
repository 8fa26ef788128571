#include <dandeliondock/proxy/key_check.h>

#include <absl/strings/match.h>

#include <utility>
#include <vector>

namespace dandeliondock {

KeyCheck::KeyCheck(KeyCheckDependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_lease(m_dependencies.withdrawalBound)
{
}

void KeyCheck::confirm(const ConfigConfirmed &confirmed, const ProxyConfig &inForce)
{
    if (inForce.state->revision() < confirmed.revision)
        return;
    const BootTime now = m_dependencies.now();
    if (m_lease.confirm(confirmed.at, now))
        logLease(LogLevel::Info, "keys.confirmed_again", now);
}

Authentication KeyCheck::check(const ProxyConfig &config, const Route &route, const HttpHeaders &headers)
{
    if (config.accounts.isEmpty())
        return {};
    std::vector<absl::string_view> credentials;
    for (const HttpHeader &line : headers.lines()) {
        if (absl::EqualsIgnoreCase(line.name, m_dependencies.headerNames.authorization))
            credentials.emplace_back(line.value);
    }
    const bool isExempt = route.isKeyExempt;
    return authenticate(config.accounts, {isExempt, isExempt || isConfirmed()}, credentials);
}

bool KeyCheck::isConfirmed()
{
    const BootTime now = m_dependencies.now();
    if (m_lease.isHeld(now))
        return true;
    if (m_lease.recordLoss()) {
        m_dependencies.metrics->counter("key_lease_losses_total").add();
        logLease(LogLevel::Warn, "keys.unconfirmed", now);
    }
    return false;
}

void KeyCheck::rewriteHeaders(const Authentication &authentication, HttpHeaders &headers) const
{
    if (authentication.removesCredentials)
        headers.remove(m_dependencies.headerNames.authorization);
    headers.remove(m_dependencies.headerNames.account);
    if (authentication.account != nullptr)
        headers.add(m_dependencies.headerNames.account, authentication.account->name.value());
}

void KeyCheck::logLease(LogLevel level, absl::string_view event, BootTime now) const
{
    LogEvent line(level, event);
    if (m_dependencies.withdrawalBound)
        line.field("revoke_ms", m_dependencies.withdrawalBound->count());
    if (const auto confirmedAt = m_lease.confirmedAt())
        line.field("age_ms", std::chrono::duration_cast<Milliseconds>(now - *confirmedAt).count());
    line.write(m_dependencies.log);
}

} // namespace dandeliondock
