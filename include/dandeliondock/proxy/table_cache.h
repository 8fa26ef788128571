#pragma once

#include <dandeliondock/store/async_table.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace dandeliondock {

/// \brief Removals that a cache remembers for those that have not heard of them.
inline constexpr std::size_t removalsKept = 1'024;

/// \brief The rows of one table as they were last read, for passing changes on.
///
/// \remark Not thread-safe.
class TableCache
{
public:
    /// \brief Takes a reading; \c isWhole says that rows not in it do not exist.
    void apply(const TableReadResult &reading, bool isWhole);

    /// \brief What changed after a version; empty when removals since then are no longer known.
    [[nodiscard]] std::optional<TableReadResult> changesSince(RowVersion after) const;

    /// \brief Every row.
    [[nodiscard]] TableReadResult fullTable() const;

    /// \brief Version up to which the rows are known.
    [[nodiscard]] RowVersion upTo() const noexcept { return m_upTo; }

private:
    void removeMissing(const TableReadResult &reading);

    std::map<RowKey, TableRow> m_rows;
    std::deque<std::pair<RowVersion, RowKey>> m_removals;
    RowVersion m_completeFrom; ///< every removal after this version is remembered
    RowVersion m_upTo;
    WallTime m_tableTime;
};

} // namespace dandeliondock
