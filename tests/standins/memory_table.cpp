#include "memory_table.h"

#include <dandeliondock/core/error.h>

#include <absl/strings/match.h>

#include <algorithm>

namespace dandeliondock::standins {

TableRow MemoryTable::rowOrAbsent(const RowKey &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? TableRow{key, RowVersion{}, {}} : found->second;
}

std::vector<TableRow> MemoryTable::read(const std::vector<RowKey> &keys) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<TableRow> rows;
    rows.reserve(keys.size());
    for (const RowKey &key : keys)
        rows.push_back(rowOrAbsent(key));
    return rows;
}

std::vector<TableRow> MemoryTable::scan(const ScanRange &range) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<TableRow> rows;
    const RowKey first(std::max(range.prefix, range.from));
    for (auto row = m_rows.lower_bound(first); row != m_rows.end() && rows.size() < range.limit; ++row) {
        if (!absl::StartsWith(row->first.value(), range.prefix))
            break;
        rows.push_back(row->second);
    }
    return rows;
}

CommitResult MemoryTable::commit(const Transaction &transaction)
{
    const std::scoped_lock lock(m_mutex);
    for (const RowCondition &condition : transaction.conditions) {
        if (rowOrAbsent(condition.key).version != condition.version)
            return {false, condition.key};
    }
    ++m_lastVersion;
    for (const RowWrite &write : transaction.writes) {
        if (write.value)
            m_rows[write.key] = {write.key, RowVersion(m_lastVersion), *write.value};
        else
            m_rows.erase(write.key);
    }
    return {true, {}};
}

void MemoryTable::putObject(const std::string &name, const std::string &content)
{
    const std::scoped_lock lock(m_mutex);
    m_objects[name] = content;
}

absl::StatusOr<std::string> MemoryTable::object(const std::string &name) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return makeError(ErrorKind::NotFound, name);
    return found->second;
}

StoreHooks MemoryTable::hooks()
{
    StoreHooks hooks;
    hooks.read = [this](const std::vector<RowKey> &keys) { return read(keys); };
    hooks.scan = [this](const ScanRange &range) { return scan(range); };
    hooks.commit = [this](const Transaction &transaction) { return commit(transaction); };
    hooks.putObject = [this](const std::string &name, const std::string &content) {
        putObject(name, content);
        return absl::OkStatus();
    };
    hooks.fetchObject = [this](const std::string &name) { return object(name); };
    return hooks;
}

} // namespace dandeliondock::standins
