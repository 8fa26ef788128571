#include "support/table_versions.h"

#include <dandeliondock/places/evacuations.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dandeliondock {
namespace {

using testing::tableVersion;

const DataCentreName a("a");
const DataCentreName b("b");

EvacuationChanges read(std::uint64_t asOf, std::vector<EvacuationRow> declared, std::vector<DataCentreName> ended,
                       bool isFull = false)
{
    return {std::move(declared), std::move(ended), tableVersion(asOf), isFull};
}

/// The operator's rows, with every change that was made to them.
struct OperatorTable
{
    struct Change
    {
        DataCentreName dataCentre;
        bool isDeclared = false;
    };

    [[nodiscard]] std::map<DataCentreName, std::uint64_t> rowsAt(std::uint64_t version) const
    {
        std::map<DataCentreName, std::uint64_t> rows;
        for (std::uint64_t index = 0; index < version; ++index) {
            if (changes[index].isDeclared)
                rows[changes[index].dataCentre] = index + 1;
            else
                rows.erase(changes[index].dataCentre);
        }
        return rows;
    }

    /// Result of a full read as of \c version, or of a read of the changes after \c after.
    [[nodiscard]] EvacuationChanges readAt(std::uint64_t version, std::optional<std::uint64_t> after) const
    {
        EvacuationChanges result = read(version, {}, {}, !after);
        const auto rows = rowsAt(version);
        for (const auto &[dataCentre, rowVersion] : rows) {
            if (!after || rowVersion > *after)
                result.declared.push_back({dataCentre, tableVersion(rowVersion)});
        }
        for (std::uint64_t index = after.value_or(version); index < version; ++index) {
            if (!rows.contains(changes[index].dataCentre))
                result.ended.push_back(changes[index].dataCentre);
        }
        return result;
    }

    std::vector<Change> changes;
};

} // namespace

// Guards against an evacuation that lasts after its row was removed, also if the removal was seen only by a full read.
TEST_CASE("an evacuation lasts from the declaration of its row to the removal", "[places]")
{
    Evacuations evacuations;
    CHECK(evacuations.apply(read(5, {{a, tableVersion(4)}, {b, tableVersion(5)}}, {}, true)));
    CHECK(evacuations.dataCentres() == std::set{a, b});
    CHECK_FALSE(evacuations.apply(read(6, {{a, tableVersion(6)}}, {})));
    CHECK(evacuations.rows().at(a) == tableVersion(6));
    CHECK(evacuations.apply(read(7, {}, {a})));
    CHECK(evacuations.dataCentres() == std::set{b});
    CHECK(evacuations.apply(read(9, {}, {}, true)));
    CHECK(evacuations.dataCentres().empty());
}

// Guards against a removal that arrives late and ends an evacuation which was declared again, and against a declaration
// that arrives late and starts one which has ended.
TEST_CASE("a read of an older version of the table changes nothing", "[places]")
{
    Evacuations evacuations;
    CHECK(evacuations.apply(read(8, {{a, tableVersion(8)}}, {})));
    CHECK_FALSE(evacuations.apply(read(7, {}, {a})));
    CHECK_FALSE(evacuations.apply(read(7, {}, {}, true)));
    CHECK(evacuations.dataCentres() == std::set{a});
    CHECK(evacuations.apply(read(9, {}, {a})));
    CHECK_FALSE(evacuations.apply(read(8, {{a, tableVersion(8)}}, {})));
    CHECK(evacuations.dataCentres().empty());
}

// Guards against a set that differs from the operator's rows after reads from several sources, of which some are
// behind, arrived in any order.
TEST_CASE("after any reads the set is that of the newest version read", "[places]")
{
    CHECK(rc::check("newest version", [] {
        OperatorTable table;
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 20);
        for (std::uint64_t index = 0; index < count; ++index)
            table.changes.push_back({*rc::gen::element(a, b), *rc::gen::arbitrary<bool>()});
        Evacuations evacuations;
        std::uint64_t newest = 0;
        for (int step = 0; step < 12; ++step) {
            const auto version = *rc::gen::inRange<std::uint64_t>(0, count + 1);
            // A reader asks for the changes after the newest version that it has, or after an earlier one.
            const bool isFull = *rc::gen::arbitrary<bool>();
            const auto after = *rc::gen::inRange<std::uint64_t>(0, std::min(newest, version) + 1);
            evacuations.apply(table.readAt(version, isFull ? std::nullopt : std::optional(after)));
            newest = std::max(newest, version);
            std::set<DataCentreName> expected;
            for (const auto &[dataCentre, rowVersion] : table.rowsAt(newest))
                expected.insert(dataCentre);
            RC_ASSERT(evacuations.dataCentres() == expected);
        }
    }));
}

// Guards against an evacuation that is not seen, or does not end, because the store has come back from an older copy.
TEST_CASE("evacuations of a later era replace those of an earlier one", "[places]")
{
    Evacuations evacuations;
    EvacuationChanges lost = read(90, {{a, tableVersion(80)}}, {}, true);
    lost.asOfVersion.era = StoreEra(1);
    CHECK(evacuations.apply(lost));
    EvacuationChanges copy = read(70, {{b, tableVersion(70, 2)}}, {}, true);
    copy.asOfVersion.era = StoreEra(2);
    CHECK(evacuations.apply(copy));
    CHECK(evacuations.dataCentres() == std::set<DataCentreName>{b});
    CHECK_FALSE(evacuations.apply(lost));
    CHECK(evacuations.dataCentres() == std::set<DataCentreName>{b});
}

} // namespace dandeliondock
