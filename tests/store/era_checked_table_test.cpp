#include "support/loop_thread.h"
#include "support/table_versions.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/store/era_checked_table.h>

#include <catch2/catch.hpp>

#include <future>

namespace dandeliondock::testing {
namespace {

const TableName table("shared");
const RowKey key("row");

/// Hooks over a table in era 2 whose every condition holds.
class LaterEra
{
public:
    LaterEra()
    {
        AsyncTableHooks hooks;
        hooks.list = [this](const TableName &, const TableReadHandler &handler) {
            TableReadResult result;
            result.asOfVersion = tableVersion(12, 2);
            m_thread.loop().post([handler, result] { handler(result); });
        };
        hooks.commit = [this](const TableTransaction &, const TableCommitHandler &handler) {
            ++commits;
            m_thread.loop().post([handler] { handler(TableCommitResult{true, tableVersion(13, 2)}); });
        };
        m_hooks = eraCheckedTable(m_thread.loop(), hooks);
    }

    ~LaterEra() { m_thread.stop(); }

    void list()
    {
        std::promise<void> isDone;
        m_thread.run(
                [&] { m_hooks.list(table, [&](const absl::StatusOr<TableReadResult> &) { isDone.set_value(); }); });
        isDone.get_future().wait();
    }

    absl::StatusOr<TableCommitResult> commit(const TableVersion &version)
    {
        std::promise<absl::StatusOr<TableCommitResult>> result;
        m_thread.run([&] {
            TableTransaction transaction;
            transaction.conditions.push_back({table, key, version});
            m_hooks.commit(transaction, [&](const absl::StatusOr<TableCommitResult> &item) { result.set_value(item); });
        });
        return result.get_future().get();
    }

    int commits = 0;

private:
    LoopThread m_thread;
    AsyncTableHooks m_hooks;
};

} // namespace

// Guards against a write on top of a row that was never read: the store has given the version out again.
TEST_CASE("a condition of an earlier era does not hold, whatever the store says", "[store]")
{
    LaterEra store;
    // The first response names the era, so that the commit was sent before it was known.
    CHECK(errorKind(store.commit(tableVersion(12, 1)).status()) == ErrorKind::OutcomeUnknown);
    CHECK(store.commits == 1);
    store.list();
    const auto refused = store.commit(tableVersion(12, 1));
    REQUIRE(refused.ok());
    CHECK_FALSE(refused->committed);
    CHECK(store.commits == 1);
    for (const TableVersion &version : {tableVersion(12, 2), TableVersion()}) {
        const auto committed = store.commit(version);
        REQUIRE(committed.ok());
        CHECK(committed->committed);
    }
}

} // namespace dandeliondock::testing
