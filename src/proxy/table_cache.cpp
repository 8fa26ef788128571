#include <dandeliondock/proxy/table_cache.h>

#include <algorithm>
#include <set>

namespace dandeliondock {

void TableCache::apply(const TableReadResult &reading, bool isWhole)
{
    if (reading.asOfVersion < m_upTo)
        return;
    if (isWhole)
        removeMissing(reading);
    for (const TableRow &row : reading.rows) {
        TableRow &held = m_rows[row.key];
        if (held.version <= row.version)
            held = row;
    }
    for (const RowKey &key : reading.removed) {
        m_rows.erase(key);
        m_removals.emplace_back(reading.asOfVersion, key);
    }
    while (m_removals.size() > removalsKept) {
        m_completeFrom = m_removals.front().first;
        m_removals.pop_front();
    }
    m_upTo = reading.asOfVersion;
    m_tableTime = reading.tableTime;
}

// Rows that were held and are not in a whole reading were removed since.
void TableCache::removeMissing(const TableReadResult &reading)
{
    if (m_upTo == RowVersion())
        m_completeFrom = reading.asOfVersion;
    std::set<RowKey> present;
    for (const TableRow &row : reading.rows)
        present.insert(row.key);
    for (auto row = m_rows.begin(); row != m_rows.end();) {
        if (present.contains(row->first)) {
            ++row;
            continue;
        }
        m_removals.emplace_back(reading.asOfVersion, row->first);
        row = m_rows.erase(row);
    }
}

TableReadResult TableCache::fullTable() const
{
    TableReadResult reading;
    reading.asOfVersion = m_upTo;
    reading.tableTime = m_tableTime;
    for (const auto &[key, row] : m_rows)
        reading.rows.push_back(row);
    return reading;
}

std::optional<TableReadResult> TableCache::changesSince(RowVersion after) const
{
    if (after < m_completeFrom)
        return std::nullopt;
    TableReadResult reading;
    reading.asOfVersion = std::max(m_upTo, after);
    reading.tableTime = m_tableTime;
    for (const auto &[key, row] : m_rows) {
        if (row.version > after)
            reading.rows.push_back(row);
    }
    for (const auto &[version, key] : m_removals) {
        if (version > after && !m_rows.contains(key))
            reading.removed.push_back(key);
    }
    return reading;
}

} // namespace dandeliondock
