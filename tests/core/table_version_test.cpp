#include <dandeliondock/core/table_version.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {

// Guards against an order of a later era that counts as older, because versions are given out again.
TEST_CASE("order numbers are ordered by era first and name the version of their row", "[core]")
{
    rc::prop("order numbers", [] {
        const auto draw = [] {
            return TableVersion{StoreEra(*rc::gen::inRange<std::uint64_t>(0, maxStoreEra.value() + 1)),
                                RowVersion(*rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 48))};
        };
        const TableVersion left = draw();
        const TableVersion right = draw();
        RC_ASSERT((left < right) == (orderNumber(left) < orderNumber(right)));
        RC_ASSERT(orderVersion(orderNumber(left)) == left);
    });
}

} // namespace dandeliondock
