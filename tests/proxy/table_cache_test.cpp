#include <dandeliondock/proxy/table_cache.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>

namespace dandeliondock {
namespace {

// Versions of the rows that a child holds after applying the changes from the cache.
using Rows = std::map<std::string, std::uint64_t>;

void applyTo(Rows &rows, const TableReadResult &result)
{
    for (const RowKey &key : result.removed)
        rows.erase(key.value());
    for (const TableRow &row : result.rows)
        rows[row.key.value()] = row.version.value();
}

} // namespace

// Guards against children whose rows differ from the table's after changes were skipped, repeated or removed.
TEST_CASE("a child that polls the cache at any interval holds the same rows as the table", "[proxy]")
{
    rc::prop("any sequence of puts and removals, read in batches of any size", [] {
        TableCache cache;
        Rows tableRows;
        Rows childRows;
        std::uint64_t version = 0;
        std::uint64_t childVersion = 0;
        TableReadResult result;
        cache.apply(result, true);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
        for (const auto &[action, name] : steps) {
            const std::string key = std::to_string(name);
            if (action <= 1) {
                ++version;
                tableRows[key] = version;
                result.put({RowKey(key), RowVersion(version), "x"});
            } else if (action == 2) {
                ++version;
                tableRows.erase(key);
                result.remove(RowKey(key));
            } else {
                result.asOfVersion = RowVersion(version);
                cache.apply(result, false);
                result = {};
                const auto changes = cache.changesSince(RowVersion(childVersion));
                RC_ASSERT(changes.has_value());
                applyTo(childRows, *changes);
                childVersion = changes->asOfVersion.value();
                RC_ASSERT(childRows == tableRows);
            }
        }
    });
}

// Guards against a child that misses a removal because the cache was updated by a full read in between.
TEST_CASE("a removal that a full read reveals is among the changes", "[proxy]")
{
    TableCache cache;
    TableReadResult fullResult;
    fullResult.asOfVersion = RowVersion(10);
    fullResult.rows.push_back({RowKey("a"), RowVersion(4), "x"});
    fullResult.rows.push_back({RowKey("b"), RowVersion(5), "x"});
    cache.apply(fullResult, true);
    fullResult.asOfVersion = RowVersion(20);
    fullResult.rows.pop_back();
    cache.apply(fullResult, true);
    const auto changes = cache.changesSince(RowVersion(10));
    REQUIRE(changes.has_value());
    CHECK(changes->removed == std::vector<RowKey>{RowKey("b")});
    CHECK(changes->rows.empty());
}

// Guards against a child that relies on removals from before the first read of the cache.
TEST_CASE("a child with a version before the cache's first full read gets no changes and has to read the full table",
          "[proxy]")
{
    TableCache cache;
    TableReadResult fullResult;
    fullResult.asOfVersion = RowVersion(10);
    fullResult.rows.push_back({RowKey("a"), RowVersion(4), "x"});
    cache.apply(fullResult, true);
    CHECK_FALSE(cache.changesSince(RowVersion(9)).has_value());
    REQUIRE(cache.changesSince(RowVersion(10)).has_value());
    CHECK(cache.changesSince(RowVersion(10))->rows.empty());
}

// Guards against a parent with older rows than its child that takes the child back to an older version.
TEST_CASE("a child that is ahead of the cache keeps its version", "[proxy]")
{
    TableCache cache;
    TableReadResult fullResult;
    fullResult.asOfVersion = RowVersion(10);
    cache.apply(fullResult, true);
    const auto changes = cache.changesSince(RowVersion(20));
    REQUIRE(changes.has_value());
    CHECK(changes->asOfVersion == RowVersion(20));
}

} // namespace dandeliondock
