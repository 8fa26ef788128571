#include <dandeliondock/core/error.h>
#include <dandeliondock/store/era_checked_table.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace dandeliondock {

namespace {

/// \brief The latest era that a response of the platform has named.
using KnownEra = std::shared_ptr<StoreEra>;

TableReadHandler observeEra(const KnownEra &known, TableReadHandler handler)
{
    return [known, handler = std::move(handler)](absl::StatusOr<TableReadResult> result) {
        if (result.ok())
            *known = std::max(*known, result->asOfVersion.era);
        handler(std::move(result));
    };
}

// That a row is absent is compared alike in every era.
bool hasConditionOfOtherEra(const TableTransaction &transaction, StoreEra era)
{
    return std::any_of(transaction.conditions.begin(), transaction.conditions.end(), [era](const TableCondition &item) {
        return !item.version.isAbsent() && item.version.era != era;
    });
}

} // namespace

AsyncTableHooks eraCheckedTable(EventLoop &loop, AsyncTableHooks table)
{
    const KnownEra known = std::make_shared<StoreEra>();
    AsyncTableHooks hooks;
    hooks.read = [known, read = std::move(table.read)](const TableName &name, const RowKey &key,
                                                       TableReadHandler handler) {
        read(name, key, observeEra(known, std::move(handler)));
    };
    hooks.list = [known, list = std::move(table.list)](const TableName &name, TableReadHandler handler) {
        list(name, observeEra(known, std::move(handler)));
    };
    hooks.pollChanges = [known,
                         pollChanges = std::move(table.pollChanges)](const TableName &name, const TableVersion &after,
                                                                     Milliseconds hold, TableReadHandler handler) {
        pollChanges(name, after, hold, observeEra(known, std::move(handler)));
    };
    hooks.commit = [known, &loop, commit = std::move(table.commit)](const TableTransaction &transaction,
                                                                    TableCommitHandler handler) {
        const bool isOver = std::any_of(
                transaction.conditions.begin(), transaction.conditions.end(),
                [&known](const TableCondition &item) { return !item.version.isAbsent() && item.version.era < *known; });
        if (isOver) {
            loop.post([known, handler = std::move(handler)] {
                handler(TableCommitResult{false, {*known, RowVersion()}});
            });
            return;
        }
        commit(transaction,
               [known, transaction, handler = std::move(handler)](absl::StatusOr<TableCommitResult> result) {
                   if (result.ok()) {
                       *known = std::max(*known, result->version.era);
                       if (result->committed && hasConditionOfOtherEra(transaction, result->version.era))
                           result = makeError(ErrorKind::OutcomeUnknown,
                                              "the condition was compared with a version of another era");
                   }
                   handler(std::move(result));
               });
    };
    return hooks;
}

} // namespace dandeliondock
