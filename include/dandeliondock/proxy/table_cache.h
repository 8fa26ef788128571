#pragma once

#include <dandeliondock/store/async_table.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace dandeliondock {

/// \brief Most removals that a cache keeps for readers that have not received them yet.
inline constexpr std::size_t maxRetainedRemovals = 1'024;

/// \brief Caches the rows of one table and its recent removals, to serve changes to other proxies.
///
/// \remark Not thread-safe.
class TableCache
{
public:
    /// \brief Applies a read result unless it is older than the cache. With \c isFull, rows that are not in the result
    /// no longer exist.
    void apply(const TableReadResult &result, bool isFull);

    /// \brief Returns the changes after a version; empty when the removals since then are no longer known.
    [[nodiscard]] std::optional<TableReadResult> changesSince(RowVersion after) const;

    /// \brief Returns every row.
    [[nodiscard]] TableReadResult fullTable() const;

    /// \brief Returns the version up to which changes are included.
    [[nodiscard]] RowVersion asOfVersion() const noexcept { return m_asOfVersion; }

private:
    void removeMissing(const TableReadResult &result);

    std::map<RowKey, TableRow> m_rows;
    std::deque<std::pair<RowVersion, RowKey>> m_removals;
    RowVersion m_removalsKnownAfter; ///< every removal after this version is in m_removals
    RowVersion m_asOfVersion;
    WallTime m_tableTime;
};

} // namespace dandeliondock
