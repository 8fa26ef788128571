#pragma once

#include <dandeliondock/store/store_hooks.h>

#include <map>
#include <mutex>
#include <string>

namespace dandeliondock::standins {

/// \brief In-memory version of the platform's table and object store. Thread-safe.
class MemoryTable
{
public:
    [[nodiscard]] std::vector<TableRow> read(const std::vector<RowKey> &keys) const;
    [[nodiscard]] std::vector<TableRow> scan(const ScanRange &range) const;
    [[nodiscard]] CommitResult commit(const Transaction &transaction);
    void putObject(const std::string &name, const std::string &content);
    [[nodiscard]] absl::StatusOr<std::string> object(const std::string &name) const;

    /// \brief Returns hooks that operate on this table.
    ///
    /// \pre The table outlives the hooks.
    [[nodiscard]] StoreHooks hooks();

private:
    [[nodiscard]] TableRow rowOrAbsent(const RowKey &key) const;

    mutable std::mutex m_mutex;
    std::map<RowKey, TableRow> m_rows;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_lastVersion = 0;
};

} // namespace dandeliondock::standins
