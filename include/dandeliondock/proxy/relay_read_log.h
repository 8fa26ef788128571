#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/relay/relay_protocol.h>
#include <dandeliondock/store/async_table.h>

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace dandeliondock {

/// \brief A read of a table that has ended.
struct RelayRead
{
    TableName table;
    bool isFull = false;
    std::vector<Address> sources; ///< in the order in which they were called; an empty address is the platform
    Milliseconds duration{0};
};

/// \brief What a proxy reads from the platform.
enum class PlatformReadKind {
    Full,
    Changes,
    Probe, ///< changes, for a confirmation
};

/// \brief A read from the platform that has ended.
struct PlatformRead
{
    TableName table;
    PlatformReadKind kind = PlatformReadKind::Full;
    Milliseconds duration{0};
    std::size_t inProgress = 0; ///< other reads of this proxy from the platform at the end of this one
};

/// \brief Number of bytes and time from which a read from the platform is logged.
inline constexpr ByteCount longPlatformReadBytes{65'536};
inline constexpr Milliseconds longPlatformReadTime{1'000};

/// \brief Log lines and metrics of the reads of tables through peers and from the platform.
///
/// \remark Not thread-safe.
class RelayReadLog
{
public:
    /// \param metrics must exist as long as the log
    RelayReadLog(MetricsRegistry &metrics, LogSink log) : m_metrics(metrics), m_log(std::move(log)) {}

    /// \brief Records a read that returned a result from \c source; an empty address is the platform.
    void recordSuccess(const RelayRead &read, const Address &source, const TableReadResult &result, MonotonicTime now);

    /// \brief Records a read for which no source returned a usable result.
    void recordFailure(const RelayRead &read, const absl::Status &status, MonotonicTime now);

    /// \brief Records a read from the platform, whether it was part of a RelayRead or a probe.
    void recordPlatformRead(const PlatformRead &read, const absl::StatusOr<TableReadResult> &result, MonotonicTime now);

private:
    MetricsRegistry &m_metrics;
    LogSink m_log;
    absl::flat_hash_map<TableName, Address> m_sources; ///< of the latest successful read
    LogRateLimiter m_sourceLimiter;
    LogRateLimiter m_fullReadLimiter;
    LogRateLimiter m_failureLimiter;
    LogRateLimiter m_platformReadLimiter;
};

/// \brief Direction of a copy of a table between two proxies.
enum class RelayDirection { Sent, Received };

/// \brief Returns the counter of the compressed bytes of copies of a table. Thread-safe.
[[nodiscard]] Counter &relayedBytes(MetricsRegistry &metrics, RelayDirection direction, const TableName &table,
                                    bool isFull);

} // namespace dandeliondock
