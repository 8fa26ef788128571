#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/quotas/quota_peer.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>

namespace dandeliondock {

/// \brief Time for which a proxy does not report to a collector that did not respond.
inline constexpr Milliseconds collectorExclusion{3'000};
/// \brief Number of proxies of another data centre among which its collector is looked for.
inline constexpr std::size_t exchangeCandidates = 3;

/// \brief Chooses the collector of a data centre: the serving proxy with the lowest address that has not failed
/// recently. Proxies with the same list choose the same one without an agreement.
///
/// \remark Not thread-safe.
class CollectorChoice
{
public:
    /// \brief Replaces the list of serving proxies.
    void setPeers(QuotaPeers peers);

    [[nodiscard]] const QuotaPeers &peers() const noexcept { return m_peers; }

    /// \brief Records that the proxy at \c address did not respond to a report; it is passed over for
    /// collectorExclusion.
    void recordFailure(const Address &address, MonotonicTime now);

    /// \brief Returns the proxy of a data centre to report to, or nothing when none can be used.
    [[nodiscard]] std::optional<Address> collectorOf(const DataCentreName &dataCentre, MonotonicTime now) const;

    /// \brief Whether \c self comes first in its data centre, regardless of failures.
    [[nodiscard]] bool isFirst(const QuotaPeer &self) const;

    /// \brief Returns the collectors with which the proxy \c self, which acts as a collector, exchanges its sums.
    ///
    /// The first proxy of a data centre calls the data centres whose names follow and is called by the others. A proxy
    /// that collects in place of the first one calls all of them, its own included, and two proxies of each: several
    /// first proxies may be lost at once.
    [[nodiscard]] QuotaPeers exchangePartners(const QuotaPeer &self) const;

    /// \brief Records that \c partner did not respond to sums or collects nothing. If it is the proxy that is called
    /// first, the next of the first exchangeCandidates proxies of its data centre is called instead.
    void recordExchangeFailure(const QuotaPeer &partner);

private:
    /// Proxy of a data centre that is called first for offset 0, second for 1; null when there are fewer.
    [[nodiscard]] const QuotaPeer *candidate(const DataCentreName &dataCentre, std::size_t offset) const;
    [[nodiscard]] bool isExcluded(const Address &address, MonotonicTime now) const;

    QuotaPeers m_peers; ///< sorted
    absl::flat_hash_map<Address, MonotonicTime> m_failures;
    absl::flat_hash_map<DataCentreName, std::size_t> m_exchangeFailures;
};

} // namespace dandeliondock
