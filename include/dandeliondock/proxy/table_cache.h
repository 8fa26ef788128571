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
    /// \pre Changes are of the era of the cache; only a full read leads to a later era.
    void apply(const TableReadResult &result, bool isFull);

    /// \brief Returns the changes after a version; empty when the removals since then are no longer known, as for any
    /// version of an earlier era.
    [[nodiscard]] std::optional<TableReadResult> changesSince(const TableVersion &after) const;

    /// \brief Returns every row.
    [[nodiscard]] TableReadResult fullTable() const;

    /// \brief Returns the version up to which changes are included.
    [[nodiscard]] const TableVersion &asOfVersion() const noexcept { return m_asOfVersion; }

private:
    void removeMissing(const TableReadResult &result);

    std::map<RowKey, TableRow> m_rows;
    std::deque<std::pair<TableVersion, RowKey>> m_removals;
    TableVersion m_removalsKnownAfter; ///< every removal after this version is in m_removals
    TableVersion m_asOfVersion;
    WallTime m_tableTime;
};

} // namespace dandeliondock
