#pragma once

#include <dandeliondock/core/table_version.h>

#include <cstdint>

namespace dandeliondock::testing {

/// \brief Returns a version of a table, by default of a store that names no era. Thread-safe.
[[nodiscard]] inline TableVersion tableVersion(std::uint64_t version, std::uint64_t era = 0)
{
    return {StoreEra(era), RowVersion(version)};
}

} // namespace dandeliondock::testing
