#include <dandeliondock/node/filing_executor.h>

#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/store/config_reader.h>
#include <dandeliondock/store/row_keys.h>

namespace dandeliondock {

namespace {

Transaction encodeCommit(const CommitFiling &action)
{
    const RowKey ticket = ticketKey(action.revision.ticket.number);
    Transaction transaction;
    transaction.conditions = {{headKey(), action.headVersion}, {ticket, RowVersion{}}};
    transaction.writes = {{headKey(), encodeHeadRow(action.head)},
                          {ticket, encodeTicketRow(action.revision)},
                          {revisionKey(action.revision.number), encodeRevisionRow(action.revision)}};
    return transaction;
}

absl::StatusOr<FilingRowsRead> decodeFilingRows(const std::vector<TableRow> &rows)
{
    FilingRowsRead event;
    const absl::StatusOr<VersionedHead> head = decodeHeadRow(rows.at(0));
    if (!head.ok())
        return head.status();
    event.head = *head;
    if (rows.at(1).version == RowVersion{})
        return event;
    absl::StatusOr<Revision> accepted = decodeTicketRow(rows.at(1));
    if (!accepted.ok())
        return accepted.status();
    event.existingRevision = *std::move(accepted);
    return event;
}

} // namespace

FilingExecutor::FilingExecutor(const StoreHooks &store, ConfigStore &cache, const JitterHook &jitter)
    : m_store(store), m_cache(cache), m_jitter(jitter)
{
}

FilingEvent FilingExecutor::perform(const FilingAction &action) const
{
    return std::visit([this](const auto &item) { return execute(item); }, action);
}

FilingEvent FilingExecutor::execute(const ReadFilingRows &action) const
{
    const auto rows = m_store.read({headKey(), ticketKey(action.number)});
    if (!rows.ok())
        return FilingReadFailed{rows.status()};
    absl::StatusOr<FilingRowsRead> event = decodeFilingRows(*rows);
    if (!event.ok())
        return FilingReadFailed{event.status()};
    return *std::move(event);
}

FilingEvent FilingExecutor::execute(const LoadFilingState &action) const
{
    return FilingStateLoaded{readConfigAt(m_store, action.revision, m_cache)};
}

FilingEvent FilingExecutor::execute(const CommitFiling &action) const
{
    const absl::StatusOr<CommitResult> result = m_store.commit(encodeCommit(action));
    if (result.ok())
        return result->committed ? FilingEvent(FilingCommitted{}) : FilingEvent(FilingConditionFailed{});
    if (errorKind(result.status()) == ErrorKind::StoreUnavailable)
        return FilingCommitRejected{result.status()};
    return FilingCommitUnknown{result.status()};
}

FilingEvent FilingExecutor::execute(const WaitFiling &action) const
{
    m_jitter(action.atMost);
    return FilingWaitElapsed{};
}

FilingEvent FilingExecutor::execute(const CompleteFiling & /*action*/) const
{
    return FilingWaitElapsed{};
}

absl::StatusOr<ConfigStatePtr> readConfigAt(const StoreHooks &store, RevisionNumber head, ConfigStore &cache)
{
    if (absl::Status status = catchUpToRevision(store, head, cache); !status.ok())
        return status;
    const ConfigStatePtr state = cache.current();
    if (state->revision() != head)
        return makeError(ErrorKind::HeadContended, "another ticket was accepted meanwhile");
    return state;
}

} // namespace dandeliondock
