#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/store/async_table.h>

#include <cstdint>
#include <functional>

namespace dandeliondock {

/// \brief Timing of a table watch.
struct WatchTiming
{
    Milliseconds hold{20'000};           ///< longest wait of a poll for a change
    Milliseconds batchDelay{250};        ///< pause after a change, so that one poll returns several further changes
    Milliseconds initialRetryDelay{200}; ///< delay after the first failure; doubles with each failure, with jitter
    Milliseconds maxRetryDelay{500};
    /// Time without a response after which the table counts as lost and is polled again. It is longer than the platform
    /// holds a poll, and leaves time for another read before the deadline for applying a configuration.
    Milliseconds responseTimeout{1'300};
};

/// \brief Number of superseded changes in one read result from which the next read is a full read. Each change carries
/// its full row, so a reader that lags behind would fall back further by reading changes.
inline constexpr std::size_t maxSupersededChanges = 2;

/// \brief Watches one table: reads it in full, then polls for changes, and reads it in full again when changes were
/// missed or the table is of another era.
///
/// Changes that arrive after the response timeout are applied as well, unless newer ones are known. A result that was
/// confirmed too long ago is applied like any other, but the table does not count as current then.
///
/// \pre No response of the table arrives after the watch is destroyed; stopping the loop first ensures this.
///
/// \remark Belongs to the loop's thread.
class TableWatch
{
public:
    /// Receives a read result. With \c isFull, rows that are not in the result do not exist.
    using Handler = std::function<void(const TableReadResult &result, bool isFull)>;
    /// Called with false when the table is lost or only old copies of it are read, and with true when it is read again.
    using CurrentHandler = std::function<void(bool)>;

    TableWatch(EventLoop &loop, const AsyncTableHooks &table, TableName name, WatchTiming timing, RandomSource random,
               LogSink log, Handler handler, CurrentHandler onCurrentChanged);

    void start();

    /// \brief Returns the version up to which changes are applied.
    [[nodiscard]] const TableVersion &asOfVersion() const noexcept { return m_asOfVersion; }

    /// \brief Applies the result of a poll that the owner made for the changes after asOfVersion(); the watch goes on
    /// polling as before. An error has no effect.
    /// \pre The table was read in full.
    void applyPoll(const absl::StatusOr<TableReadResult> &result) { handleLateResult(result); }

    /// \brief Whether the latest read returned a recent copy of the table.
    [[nodiscard]] bool isCurrent() const noexcept { return m_isSynced && m_isRecent && m_failures == 0; }

    /// \brief Whether the table was read in full at least once.
    [[nodiscard]] bool isSynced() const noexcept { return m_isSynced; }

private:
    void readNext();
    void readFull();
    void pollChanges();
    void handleResult(absl::StatusOr<TableReadResult> result, bool isFull);
    void handleLateResult(const absl::StatusOr<TableReadResult> &result);
    /// Whether a result may be applied to the rows that were applied before.
    [[nodiscard]] bool isApplicable(const TableReadResult &result, bool isFull) const;
    void apply(const TableReadResult &result, bool isFull);
    void handleFailure(const absl::Status &status);

    EventLoop &m_loop;
    const AsyncTableHooks &m_table;
    TableName m_name;
    WatchTiming m_timing;
    RandomSource m_random;
    LogSink m_log;
    LogRateLimiter m_failureLimiter;
    Handler m_handler;
    CurrentHandler m_onCurrentChanged;
    LoopTimer m_timer;
    TableVersion m_asOfVersion;
    std::uint64_t m_lastPoll = 0; ///< number of the latest poll for changes
    int m_failures = 0;
    bool m_isSynced = false;
    bool m_isRecent = false;     ///< the latest result was confirmed recently
    bool m_needsFullRead = true; ///< the next read is a full one
};

} // namespace dandeliondock
