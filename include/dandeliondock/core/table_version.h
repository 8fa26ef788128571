#pragma once

#include <dandeliondock/core/ids.h>

#include <compare>
#include <cstdint>
#include <ostream>

namespace dandeliondock {

/// \brief Era of the platform's store. It rises by one each time the store comes back from an older copy and loses what
/// it had acknowledged since; the lost row versions are then given out again. 0 if the store names no era.
using StoreEra = StrongType<struct StoreEraTag, std::uint64_t>;

/// \brief Version of a table or of a row together with the era in which it was read. Versions of different eras are
/// ordered by the era: whatever was read in a later era replaces what was read in an earlier one.
///
/// \remark A plain value; concurrent const access is safe.
struct TableVersion
{
    StoreEra era;
    RowVersion version;

    auto operator<=>(const TableVersion &) const = default;

    /// \brief Whether this is the version of an absent row. Thread-safe on a const object.
    [[nodiscard]] constexpr bool isAbsent() const noexcept { return version == RowVersion(); }

    friend std::ostream &operator<<(std::ostream &out, const TableVersion &item)
    {
        return out << item.era << '.' << item.version;
    }
};

/// \brief Largest era that an order number has room for.
inline constexpr StoreEra maxStoreEra{0xffff};

/// \brief Returns the number of an order that was read in a row of this version. Orders of a later era have higher
/// numbers. Thread-safe.
/// \pre The era is at most maxStoreEra and the version is below 2^48, so that no two orders have the same number.
[[nodiscard]] TicketNumber orderNumber(const TableVersion &version) noexcept;

/// \brief Returns the version of the row in which an order with this number was read. Thread-safe.
[[nodiscard]] TableVersion orderVersion(TicketNumber number) noexcept;

} // namespace dandeliondock
