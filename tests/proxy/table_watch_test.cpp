#include "support/loop_thread.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/proxy/table_watch.h>

#include <catch2/catch.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

const TableName table("shared");
constexpr WatchPace quickPace{Milliseconds(20), Milliseconds(1), Milliseconds(5), Milliseconds(10)};

TableReading readingUpTo(std::uint64_t version)
{
    TableReading reading;
    reading.upTo = RowVersion(version);
    reading.put({RowKey("a"), RowVersion(version), "value"});
    return reading;
}

} // namespace

// Guards against rows that go back and stay there because a table was read whole from a proxy that is behind.
TEST_CASE("a whole table that is older than what is known is read again", "[proxy]")
{
    LoopThread thread;
    std::vector<std::uint64_t> lists{5, 9, 7, 10};
    std::vector<std::uint64_t> taken;
    AsyncTableHooks hooks;
    hooks.list = [&](const TableName &, const TableReadingHandler &handler) {
        const std::uint64_t version = lists.front();
        if (lists.size() > 1)
            lists.erase(lists.begin());
        thread.loop().post([handler, version] { handler(readingUpTo(version)); });
    };
    hooks.changes = [&](const TableName &, RowVersion, Milliseconds, const TableReadingHandler &handler) {
        thread.loop().post([handler] { handler(makeError(ErrorKind::RevisionGap, "dropped")); });
    };
    std::unique_ptr<TableWatch> watch;
    thread.run([&] {
        watch = std::make_unique<TableWatch>(
                thread.loop(), hooks, table, quickPace, seededRandom(1), LogSink(),
                [&taken](const TableReading &reading, bool isWhole) {
                    if (isWhole && (taken.empty() || taken.back() != reading.upTo.value()))
                        taken.push_back(reading.upTo.value());
                },
                [](bool) {});
        watch->start();
    });
    std::this_thread::sleep_for(Milliseconds(300));
    thread.run([&] { watch.reset(); });
    CHECK(taken == std::vector<std::uint64_t>{5, 9, 10});
}

} // namespace dandeliondock::testing
