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
constexpr WatchTiming quickPace{Milliseconds(20), Milliseconds(1), Milliseconds(5), Milliseconds(10)};

TableReadResult readingUpTo(std::uint64_t version)
{
    TableReadResult reading;
    reading.asOfVersion = RowVersion(version);
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
    hooks.list = [&](const TableName &, const TableReadHandler &handler) {
        const std::uint64_t version = lists.front();
        if (lists.size() > 1)
            lists.erase(lists.begin());
        thread.loop().post([handler, version] { handler(readingUpTo(version)); });
    };
    hooks.pollChanges = [&](const TableName &, RowVersion, Milliseconds, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(makeError(ErrorKind::RevisionGap, "dropped")); });
    };
    std::unique_ptr<TableWatch> watch;
    thread.run([&] {
        watch = std::make_unique<TableWatch>(
                thread.loop(), hooks, table, quickPace, seededRandom(1), LogSink(),
                [&taken](const TableReadResult &reading, bool isWhole) {
                    if (isWhole && (taken.empty() || taken.back() != reading.asOfVersion.value()))
                        taken.push_back(reading.asOfVersion.value());
                },
                [](bool) {});
        watch->start();
    });
    std::this_thread::sleep_for(Milliseconds(300));
    thread.run([&] { watch.reset(); });
    CHECK(taken == std::vector<std::uint64_t>{5, 9, 10});
}

// Guards against an answer that is thrown away because it was late, although it carries the change that is waited for.
TEST_CASE("changes that arrive after they were overdue are taken", "[proxy]")
{
    LoopThread thread;
    std::vector<TableReadHandler> calls;
    std::vector<std::uint64_t> taken;
    std::vector<bool> current;
    AsyncTableHooks hooks;
    hooks.list = [&](const TableName &, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(readingUpTo(5)); });
    };
    hooks.pollChanges = [&](const TableName &, RowVersion, Milliseconds, TableReadHandler handler) {
        calls.push_back(std::move(handler));
    };
    WatchTiming pace = quickPace;
    pace.responseTimeout = Milliseconds(400);
    std::unique_ptr<TableWatch> watch;
    thread.run([&] {
        watch = std::make_unique<TableWatch>(
                thread.loop(), hooks, table, pace, seededRandom(1), LogSink(),
                [&taken](const TableReadResult &reading, bool isWhole) {
                    if (!isWhole)
                        taken.push_back(reading.asOfVersion.value());
                },
                [&current](bool isCurrent) { current.push_back(isCurrent); });
        watch->start();
    });
    const auto asked = [&] {
        std::size_t count = 0;
        thread.run([&] { count = calls.size(); });
        return count;
    };
    const auto end = std::chrono::steady_clock::now() + Seconds(5);
    while (asked() < 2 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(Milliseconds(5));
    thread.run([&] {
        REQUIRE(calls.size() == 2);
        CHECK(current == std::vector<bool>{true, false});
        calls.front()(readingUpTo(7));
        CHECK(watch->isCurrent());
    });
    CHECK(taken == std::vector<std::uint64_t>{7});
    // What the later call brings is older by now.
    thread.run([&] { calls[1](readingUpTo(6)); });
    thread.run([&] { watch.reset(); });
    CHECK(taken == std::vector<std::uint64_t>{7});
}

} // namespace dandeliondock::testing
