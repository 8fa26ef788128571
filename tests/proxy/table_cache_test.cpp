#include <dandeliondock/proxy/table_cache.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>

namespace dandeliondock {
namespace {

// A follower's rows after it took what the cache passes on.
using Rows = std::map<std::string, std::uint64_t>;

void takeOver(Rows &rows, const TableReadResult &reading)
{
    for (const RowKey &key : reading.removed)
        rows.erase(key.value());
    for (const TableRow &row : reading.rows)
        rows[row.key.value()] = row.version.value();
}

} // namespace

// Guards against followers whose rows differ from the table's after changes were skipped, repeated or removed.
TEST_CASE("a follower that asks now and then holds the same rows as the table", "[proxy]")
{
    rc::prop("puts and removals read in pieces of any size", [] {
        TableCache cache;
        Rows table;
        Rows follower;
        std::uint64_t version = 0;
        std::uint64_t followed = 0;
        TableReadResult reading;
        cache.apply(reading, true);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
        for (const auto &[action, name] : steps) {
            const std::string key = std::to_string(name);
            if (action <= 1) {
                ++version;
                table[key] = version;
                reading.put({RowKey(key), RowVersion(version), "x"});
            } else if (action == 2) {
                ++version;
                table.erase(key);
                reading.remove(RowKey(key));
            } else {
                reading.asOfVersion = RowVersion(version);
                cache.apply(reading, false);
                reading = {};
                const auto news = cache.changesSince(RowVersion(followed));
                RC_ASSERT(news.has_value());
                takeOver(follower, *news);
                followed = news->asOfVersion.value();
                RC_ASSERT(follower == table);
            }
        }
    });
}

// Guards against a follower that misses a removal because the table was read whole in between.
TEST_CASE("a removal that a whole reading shows is passed on", "[proxy]")
{
    TableCache cache;
    TableReadResult whole;
    whole.asOfVersion = RowVersion(10);
    whole.rows.push_back({RowKey("a"), RowVersion(4), "x"});
    whole.rows.push_back({RowKey("b"), RowVersion(5), "x"});
    cache.apply(whole, true);
    whole.asOfVersion = RowVersion(20);
    whole.rows.pop_back();
    cache.apply(whole, true);
    const auto news = cache.changesSince(RowVersion(10));
    REQUIRE(news.has_value());
    CHECK(news->removed == std::vector<RowKey>{RowKey("b")});
    CHECK(news->rows.empty());
}

// Guards against a follower that relies on removals from before the cache began.
TEST_CASE("a follower from before the first whole reading is told to read the table whole", "[proxy]")
{
    TableCache cache;
    TableReadResult whole;
    whole.asOfVersion = RowVersion(10);
    whole.rows.push_back({RowKey("a"), RowVersion(4), "x"});
    cache.apply(whole, true);
    CHECK_FALSE(cache.changesSince(RowVersion(9)).has_value());
    REQUIRE(cache.changesSince(RowVersion(10)).has_value());
    CHECK(cache.changesSince(RowVersion(10))->rows.empty());
}

// Guards against a parent that holds older rows than its follower and takes it back.
TEST_CASE("a follower that is ahead stays there", "[proxy]")
{
    TableCache cache;
    TableReadResult whole;
    whole.asOfVersion = RowVersion(10);
    cache.apply(whole, true);
    const auto news = cache.changesSince(RowVersion(20));
    REQUIRE(news.has_value());
    CHECK(news->asOfVersion == RowVersion(20));
}

} // namespace dandeliondock
