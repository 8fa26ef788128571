#include <dandeliondock/proxy/table_cache.h>

#include <algorithm>
#include <set>

namespace dandeliondock {

void TableCache::apply(const TableReadResult &result, bool isFull)
{
    if (result.asOfVersion < m_asOfVersion)
        return;
    if (isFull && result.asOfVersion.era != m_asOfVersion.era) {
        // The versions of the cached rows and removals mean nothing in another era.
        m_rows.clear();
        m_removals.clear();
        m_removalsKnownAfter = result.asOfVersion;
    } else if (isFull) {
        removeMissing(result);
    }
    for (const TableRow &row : result.rows) {
        TableRow &cachedRow = m_rows[row.key];
        if (cachedRow.version <= row.version)
            cachedRow = row;
    }
    for (const RowKey &key : result.removed) {
        m_rows.erase(key);
        m_removals.emplace_back(result.asOfVersion, key);
    }
    while (m_removals.size() > maxRetainedRemovals) {
        m_removalsKnownAfter = m_removals.front().first;
        m_removals.pop_front();
    }
    m_asOfVersion = result.asOfVersion;
    m_tableTime = result.tableTime;
}

// Removes the cached rows that are not in the result of a full read.
void TableCache::removeMissing(const TableReadResult &result)
{
    if (m_asOfVersion == TableVersion())
        m_removalsKnownAfter = result.asOfVersion;
    std::set<RowKey> presentKeys;
    for (const TableRow &row : result.rows)
        presentKeys.insert(row.key);
    for (auto row = m_rows.begin(); row != m_rows.end();) {
        if (presentKeys.contains(row->first)) {
            ++row;
            continue;
        }
        m_removals.emplace_back(result.asOfVersion, row->first);
        row = m_rows.erase(row);
    }
}

TableReadResult TableCache::fullTable() const
{
    TableReadResult result;
    result.asOfVersion = m_asOfVersion;
    result.tableTime = m_tableTime;
    for (const auto &[key, row] : m_rows)
        result.rows.push_back(row);
    return result;
}

std::optional<TableReadResult> TableCache::changesSince(const TableVersion &after) const
{
    if (after < m_removalsKnownAfter)
        return std::nullopt;
    TableReadResult result;
    result.asOfVersion = std::max(m_asOfVersion, after);
    result.tableTime = m_tableTime;
    for (const auto &[key, row] : m_rows) {
        if (TableVersion{m_asOfVersion.era, row.version} > after)
            result.rows.push_back(row);
    }
    for (const auto &[version, key] : m_removals) {
        if (version > after && !m_rows.contains(key))
            result.removed.push_back(key);
    }
    return result;
}

} // namespace dandeliondock
