#include "support/loop_thread.h"
#include "support/table_versions.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/proxy/table_watch.h>
#include <dandeliondock/relay/relay_protocol.h>

#include <absl/strings/match.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

const TableName table("shared");
constexpr WatchTiming shortTiming{Milliseconds(20), Milliseconds(1), Milliseconds(5), Milliseconds(10)};

TableReadResult resultAsOf(std::uint64_t version)
{
    TableReadResult result;
    result.asOfVersion = tableVersion(version);
    result.put({RowKey("a"), RowVersion(version), "value"});
    return result;
}

} // namespace

// Guards against rows that are permanently replaced by older ones after a full read from a proxy with old data.
TEST_CASE("a full read that is older than the applied rows is rejected and repeated", "[proxy]")
{
    LoopThread thread;
    std::vector<std::uint64_t> listVersions{5, 9, 7, 10};
    std::vector<std::uint64_t> appliedVersions;
    AsyncTableHooks hooks;
    hooks.list = [&](const TableName &, const TableReadHandler &handler) {
        const std::uint64_t version = listVersions.front();
        if (listVersions.size() > 1)
            listVersions.erase(listVersions.begin());
        thread.loop().post([handler, version] { handler(resultAsOf(version)); });
    };
    hooks.pollChanges = [&](const TableName &, const TableVersion &, Milliseconds, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(makeError(ErrorKind::RevisionGap, "dropped")); });
    };
    std::unique_ptr<TableWatch> watch;
    thread.run([&] {
        watch = std::make_unique<TableWatch>(
                thread.loop(), hooks, table, shortTiming, seededRandom(1), LogSink(),
                [&appliedVersions](const TableReadResult &result, bool isFull) {
                    if (isFull
                        && (appliedVersions.empty() || appliedVersions.back() != result.asOfVersion.version.value()))
                        appliedVersions.push_back(result.asOfVersion.version.value());
                },
                [](bool) {});
        watch->start();
    });
    std::this_thread::sleep_for(Milliseconds(300));
    thread.stop(); // a response that is still posted must not reach the watch after its end
    watch.reset();
    CHECK(appliedVersions == std::vector<std::uint64_t>{5, 9, 10});
}

// Guards against a late response that is discarded although it contains the awaited change.
TEST_CASE("changes that arrive after the response timeout are applied", "[proxy]")
{
    LoopThread thread;
    std::vector<TableReadHandler> pollHandlers;
    std::vector<std::uint64_t> appliedVersions;
    std::vector<bool> currentStates;
    AsyncTableHooks hooks;
    hooks.list = [&](const TableName &, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(resultAsOf(5)); });
    };
    hooks.pollChanges = [&](const TableName &, const TableVersion &, Milliseconds, TableReadHandler handler) {
        pollHandlers.push_back(std::move(handler));
    };
    WatchTiming timing = shortTiming;
    timing.responseTimeout = Milliseconds(400);
    std::unique_ptr<TableWatch> watch;
    thread.run([&] {
        watch = std::make_unique<TableWatch>(
                thread.loop(), hooks, table, timing, seededRandom(1), LogSink(),
                [&appliedVersions](const TableReadResult &result, bool isFull) {
                    if (!isFull)
                        appliedVersions.push_back(result.asOfVersion.version.value());
                },
                [&currentStates](bool isCurrent) { currentStates.push_back(isCurrent); });
        watch->start();
    });
    const auto pollCount = [&] {
        std::size_t count = 0;
        thread.run([&] { count = pollHandlers.size(); });
        return count;
    };
    const auto deadline = std::chrono::steady_clock::now() + Seconds(5);
    while (pollCount() < 2 && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(Milliseconds(5));
    thread.run([&] {
        REQUIRE(pollHandlers.size() == 2);
        CHECK(currentStates == std::vector<bool>{true, false});
        pollHandlers.front()(resultAsOf(7));
        CHECK(watch->isCurrent());
    });
    CHECK(appliedVersions == std::vector<std::uint64_t>{7});
    // The result of the second poll is older than the applied version by now.
    thread.run([&] { pollHandlers[1](resultAsOf(6)); });
    thread.stop();
    watch.reset();
    CHECK(appliedVersions == std::vector<std::uint64_t>{7});
}

// Guards against a table that stays lost for a reason that no log line names.
TEST_CASE("each failure of a lost table is logged with its cause", "[proxy]")
{
    LoopThread thread;
    std::vector<std::string> lines;
    AsyncTableHooks hooks;
    hooks.list = [&](const TableName &, const TableReadHandler &handler) {
        const bool isFirst = lines.empty();
        thread.loop().post([handler, isFirst] {
            handler(makeError(ErrorKind::StoreUnavailable, isFirst ? "refused" : "HTTP status 429"));
        });
    };
    std::unique_ptr<TableWatch> watch;
    thread.run([&] {
        watch = std::make_unique<TableWatch>(
                thread.loop(), hooks, table, shortTiming, seededRandom(1),
                [&lines](LogLevel, const std::string &line) { lines.push_back(line); },
                [](const TableReadResult &, bool) {}, [](bool) {});
        watch->start();
    });
    std::this_thread::sleep_for(Milliseconds(200));
    thread.stop();
    watch.reset();
    REQUIRE(lines.size() >= 2);
    CHECK(absl::StrContains(lines[0], "table.lost"));
    CHECK(absl::StrContains(lines[0], "refused"));
    CHECK(absl::StrContains(lines[1], "table.still_lost"));
    CHECK(absl::StrContains(lines[1], "HTTP status 429"));
    CHECK(absl::StrContains(lines[1], "failures=2"));
}

// Guards against a table that is given up, or that counts as current, when only old copies of it can be read.
TEST_CASE("a copy that was confirmed too long ago is applied, but does not count as current", "[proxy]")
{
    LoopThread thread;
    std::vector<std::uint64_t> appliedVersions;
    std::vector<bool> currentStates;
    std::vector<std::string> lines;
    int polls = 0;
    AsyncTableHooks hooks;
    hooks.list = [&](const TableName &, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(resultAsOf(5)); });
    };
    hooks.pollChanges = [&](const TableName &, const TableVersion &after, Milliseconds,
                            const TableReadHandler &handler) {
        if (after.version.value() >= 7)
            return;
        TableReadResult result = resultAsOf(after.version.value() + 1);
        result.age = ++polls == 1 ? maxRelayedAge + Milliseconds(1) : maxRelayedAge;
        thread.loop().post([handler, result] { handler(result); });
    };
    std::unique_ptr<TableWatch> watch;
    thread.run([&] {
        watch = std::make_unique<TableWatch>(
                thread.loop(), hooks, table, shortTiming, seededRandom(1),
                [&lines](LogLevel, const std::string &line) { lines.push_back(line); },
                [&appliedVersions](const TableReadResult &result, bool) {
                    appliedVersions.push_back(result.asOfVersion.version.value());
                },
                [&currentStates](bool isCurrent) { currentStates.push_back(isCurrent); });
        watch->start();
    });
    std::this_thread::sleep_for(Milliseconds(300));
    thread.run([&] { CHECK(watch->isCurrent()); });
    thread.stop();
    watch.reset();
    CHECK(appliedVersions == std::vector<std::uint64_t>{5, 6, 7});
    CHECK(currentStates == std::vector<bool>{true, false, true});
    REQUIRE(lines.size() == 3);
    CHECK(absl::StrContains(lines[1], "table.outdated"));
    CHECK(absl::StrContains(lines[2], "table.regained"));
}

// Guards against rows that stay although they are gone, when the platform was read in full for a poll for changes.
TEST_CASE("a full table that comes for a poll for changes is applied as one", "[proxy]")
{
    LoopThread thread;
    std::vector<bool> fullReads;
    AsyncTableHooks hooks;
    hooks.list = [&](const TableName &, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(resultAsOf(5)); });
    };
    hooks.pollChanges = [&](const TableName &, const TableVersion &after, Milliseconds,
                            const TableReadHandler &handler) {
        if (after.version.value() > 5)
            return;
        TableReadResult result = resultAsOf(6);
        result.isFull = true;
        thread.loop().post([handler, result] { handler(result); });
    };
    std::unique_ptr<TableWatch> watch;
    thread.run([&] {
        watch = std::make_unique<TableWatch>(
                thread.loop(), hooks, table, shortTiming, seededRandom(1), LogSink(),
                [&fullReads](const TableReadResult &, bool isFull) { fullReads.push_back(isFull); }, [](bool) {});
        watch->start();
    });
    std::this_thread::sleep_for(Milliseconds(200));
    thread.stop();
    watch.reset();
    CHECK(fullReads == std::vector<bool>{true, true});
}

} // namespace dandeliondock::testing
