#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/store/async_table.h>

#include <cstdint>
#include <functional>

namespace dandeliondock {

/// \brief Pace of a watch.
struct WatchTiming
{
    Milliseconds hold{20'000};    ///< longest wait for a change
    Milliseconds batchDelay{250}; ///< pause after a change, in which further changes gather for one call
    Milliseconds firstRetry{200}; ///< after a failure; doubles, with jitter
    Milliseconds longestRetry{500};
    /// Time without an answer after which the table counts as lost and is asked for again. It covers a call that the
    /// platform holds, and leaves time to read it again before a configuration must be in force.
    Milliseconds responseTimeout{1'300};
};

/// \brief Changes of one reading that a later one replaced from which on the rows as they stand are read instead: each
/// change carries its whole row, and a reader that lags would fall back further.
inline constexpr std::size_t maxSupersededChanges = 2;

/// \brief Follows one table: reads it whole, then its changes, and whole again when changes were missed.
///
/// Changes that arrive after they were overdue are taken as well, unless newer ones are known.
///
/// \remark Belongs to the loop's thread.
class TableWatch
{
public:
    /// Takes a reading; \c isWhole says that rows not in it do not exist.
    using Handler = std::function<void(const TableReadResult &reading, bool isWhole)>;
    /// Told when the table was lost or regained.
    using CurrentHandler = std::function<void(bool)>;

    TableWatch(EventLoop &loop, const AsyncTableHooks &table, TableName name, WatchTiming pace, RandomSource random,
               LogSink log, Handler handler, CurrentHandler onCurrent);

    void start();

    /// \brief Whether the last call succeeded or is still within its time.
    [[nodiscard]] bool isCurrent() const noexcept { return m_isSynced && m_failures == 0; }

    /// \brief Whether the table was read whole once.
    [[nodiscard]] bool isSynced() const noexcept { return m_isSynced; }

private:
    void next();
    void read();
    void follow();
    void received(absl::StatusOr<TableReadResult> reading, bool isWhole);
    void receivedLate(const absl::StatusOr<TableReadResult> &reading);
    void take(const TableReadResult &reading, bool isWhole);
    void failed(const absl::Status &status);

    EventLoop &m_loop;
    const AsyncTableHooks &m_table;
    TableName m_name;
    WatchTiming m_pace;
    RandomSource m_random;
    LogSink m_log;
    Handler m_handler;
    CurrentHandler m_onCurrent;
    LoopTimer m_timer;
    RowVersion m_upTo;
    std::uint64_t m_lastCall = 0; ///< for changes
    int m_failures = 0;
    bool m_isSynced = false;
    bool m_mustRead = true; ///< the table is read whole next
};

} // namespace dandeliondock
