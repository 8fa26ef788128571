#pragma once

#include <dandeliondock/core/units.h>

#include <cstddef>
#include <optional>

namespace dandeliondock {

/// \brief State of the copy of a table that a proxy serves to other proxies.
struct ServedCopyState
{
    bool isCurrent = false;          ///< whether the proxy is in contact with the source of the table
    std::optional<Milliseconds> age; ///< time since the platform confirmed the copy; empty without a copy
    std::size_t fleetSize = 0;       ///< number of known serving proxies
};

/// \brief Whether other proxies may read a table from a proxy. Thread-safe.
[[nodiscard]] bool mayServeCopy(const ServedCopyState &state) noexcept;

} // namespace dandeliondock
