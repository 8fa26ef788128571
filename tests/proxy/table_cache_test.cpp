#include "support/table_versions.h"

#include <dandeliondock/proxy/table_cache.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>

namespace dandeliondock {
namespace {

using testing::tableVersion;

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
                result.asOfVersion = tableVersion(version);
                cache.apply(result, false);
                result = {};
                const auto changes = cache.changesSince(tableVersion(childVersion));
                RC_ASSERT(changes.has_value());
                applyTo(childRows, *changes);
                childVersion = changes->asOfVersion.version.value();
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
    fullResult.asOfVersion = tableVersion(10);
    fullResult.rows.push_back({RowKey("a"), RowVersion(4), "x"});
    fullResult.rows.push_back({RowKey("b"), RowVersion(5), "x"});
    cache.apply(fullResult, true);
    fullResult.asOfVersion = tableVersion(20);
    fullResult.rows.pop_back();
    cache.apply(fullResult, true);
    const auto changes = cache.changesSince(tableVersion(10));
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
    fullResult.asOfVersion = tableVersion(10);
    fullResult.rows.push_back({RowKey("a"), RowVersion(4), "x"});
    cache.apply(fullResult, true);
    CHECK_FALSE(cache.changesSince(tableVersion(9)).has_value());
    REQUIRE(cache.changesSince(tableVersion(10)).has_value());
    CHECK(cache.changesSince(tableVersion(10))->rows.empty());
}

// Guards against a parent with older rows than its child that takes the child back to an older version.
TEST_CASE("a child that is ahead of the cache keeps its version", "[proxy]")
{
    TableCache cache;
    TableReadResult fullResult;
    fullResult.asOfVersion = tableVersion(10);
    cache.apply(fullResult, true);
    const auto changes = cache.changesSince(tableVersion(20));
    REQUIRE(changes.has_value());
    CHECK(changes->asOfVersion == tableVersion(20));
}

// Guards against rows, removals and versions of a lost era that outlive the return of the store from an older copy.
TEST_CASE("a full read of a later era replaces the cache, and a child of an earlier era has to read the full table",
          "[proxy]")
{
    TableCache cache;
    TableReadResult lost;
    lost.asOfVersion = tableVersion(20, 1);
    lost.rows = {{RowKey("a"), RowVersion(4), "kept"}, {RowKey("b"), RowVersion(19), "lost"}};
    cache.apply(lost, true);
    TableReadResult copy;
    copy.asOfVersion = tableVersion(12, 2);
    copy.rows = {{RowKey("a"), RowVersion(4), "kept"}, {RowKey("b"), RowVersion(12), "rewritten"}};
    cache.apply(copy, true);
    CHECK(cache.asOfVersion() == tableVersion(12, 2));
    CHECK(cache.fullTable().rows == copy.rows);
    for (const std::uint64_t known : {4U, 12U, 20U, 30U})
        CHECK_FALSE(cache.changesSince(tableVersion(known, 1)).has_value());
    REQUIRE(cache.changesSince(tableVersion(12, 2)).has_value());
    CHECK(cache.changesSince(tableVersion(12, 2))->rows.empty());
    cache.apply(lost, true);
    CHECK(cache.fullTable().rows == copy.rows);
    const auto ahead = cache.changesSince(tableVersion(3, 3));
    REQUIRE(ahead.has_value());
    CHECK(ahead->rows.empty());
    CHECK(ahead->asOfVersion == tableVersion(3, 3));
}

} // namespace dandeliondock
