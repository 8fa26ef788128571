#include <dandeliondock/core/table_version.h>

namespace dandeliondock {

namespace {

constexpr unsigned versionBits = 48;
constexpr std::uint64_t versionMask = (std::uint64_t{1} << versionBits) - 1;

} // namespace

TicketNumber orderNumber(const TableVersion &version) noexcept
{
    return TicketNumber(version.era.value() << versionBits | (version.version.value() & versionMask));
}

TableVersion orderVersion(TicketNumber number) noexcept
{
    return {StoreEra(number.value() >> versionBits), RowVersion(number.value() & versionMask)};
}

} // namespace dandeliondock
