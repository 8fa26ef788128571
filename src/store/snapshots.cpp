#include <dandeliondock/store/snapshots.h>

#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/codec/snapshot_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/store/config_reader.h>
#include <dandeliondock/store/row_keys.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace dandeliondock {

namespace {

// Maximum number of rows that one transaction removes; the remaining rows are removed with a later snapshot.
constexpr std::size_t maxRemovedRows = 256;

absl::Status invalidSnapshot(RevisionNumber revision, absl::string_view reason)
{
    return makeError(ErrorKind::InvalidRow, absl::StrCat("object ", snapshotName(revision), ": ", reason));
}

absl::StatusOr<std::vector<RowWrite>> removalsOfRevisionsUpTo(const StoreHooks &store, RevisionNumber last)
{
    const auto rows = store.scan({revisionPrefix, {}, maxRemovedRows});
    if (!rows.ok())
        return rows.status();
    std::vector<RowWrite> writes;
    for (const TableRow &row : *rows) {
        if (row.key > revisionKey(last))
            break;
        writes.push_back({row.key, std::nullopt});
    }
    return writes;
}

} // namespace

std::string snapshotName(RevisionNumber revision)
{
    return absl::StrFormat("snapshot/%020d", revision.value());
}

bool snapshotDue(const HeadRow &head)
{
    return head.revision.value() >= head.snapshotRevision.value() + snapshotIntervalRevisions;
}

absl::StatusOr<ConfigState> readSnapshot(const StoreHooks &store, RevisionNumber revision)
{
    const absl::StatusOr<std::string> object = store.fetchObject(snapshotName(revision));
    if (errorKind(object.status()) == ErrorKind::NotFound)
        return invalidSnapshot(revision, "it is absent");
    if (!object.ok())
        return object.status();
    absl::StatusOr<ConfigState> state = decodeSnapshot(*object);
    if (!state.ok())
        return invalidSnapshot(revision, errorDetail(state.status()));
    if (state->revision() != revision)
        return invalidSnapshot(revision, absl::StrCat("it holds revision ", state->revision().value()));
    return state;
}

absl::Status writeSnapshot(const StoreHooks &store, const ConfigState &state)
{
    const absl::StatusOr<VersionedHead> latest = readVersionedHead(store);
    if (!latest.ok())
        return latest.status();
    if (latest->head.snapshotRevision >= state.revision() || state.revision() > latest->head.revision)
        return absl::OkStatus();
    if (absl::Status status = store.putObject(snapshotName(state.revision()), encodeSnapshot(state)); !status.ok())
        return status;
    absl::StatusOr<std::vector<RowWrite>> writes = removalsOfRevisionsUpTo(store, latest->head.snapshotRevision);
    if (!writes.ok())
        return writes.status();
    HeadRow head = latest->head;
    head.snapshotRevision = state.revision();
    writes->push_back({headKey(), encodeHeadRow(head)});
    const absl::StatusOr<CommitResult> result = store.commit({{{headKey(), latest->version}}, *std::move(writes)});
    if (!result.ok())
        return result.status();
    if (!result->committed)
        return makeError(ErrorKind::HeadContended, "another ticket was accepted meanwhile");
    return absl::OkStatus();
}

} // namespace dandeliondock
