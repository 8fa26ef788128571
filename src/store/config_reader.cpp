#include <dandeliondock/store/config_reader.h>

#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/store/row_keys.h>
#include <dandeliondock/store/snapshots.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

namespace {

constexpr std::size_t maxScannedRevisions = 256;

// Applies one page of revisions. Returns NotFound when the table has no row for the next revision.
absl::Status applyNextRevisions(const StoreHooks &store, RevisionNumber head, ConfigStore &config)
{
    const auto revisions = scanRevisions(store, config.current()->revision(), head);
    if (!revisions.ok())
        return revisions.status();
    for (const Revision &revision : *revisions) {
        if (absl::Status status = config.apply(revision); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

// Applies the latest snapshot when it is later than the current configuration.
absl::Status applyLatestSnapshot(const StoreHooks &store, ConfigStore &config)
{
    const absl::StatusOr<VersionedHead> latest = readVersionedHead(store);
    if (!latest.ok())
        return latest.status();
    const RevisionNumber snapshot = latest->head.snapshotRevision;
    if (snapshot <= config.current()->revision())
        return absl::OkStatus();
    absl::StatusOr<ConfigState> state = readSnapshot(store, snapshot);
    if (!state.ok())
        return state.status();
    config.applySnapshot(*std::move(state));
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::vector<Revision>> scanRevisions(const StoreHooks &store, RevisionNumber held, RevisionNumber head)
{
    const RowKey nextKey = revisionKey(RevisionNumber(held.value() + 1));
    const auto rows = store.scan({revisionPrefix, nextKey.value(), maxScannedRevisions});
    if (!rows.ok())
        return rows.status();
    if (rows->empty() || rows->front().key != nextKey)
        return makeError(ErrorKind::NotFound, absl::StrCat("the table has no row ", nextKey.value()));
    std::vector<Revision> revisions;
    for (const TableRow &row : *rows) {
        absl::StatusOr<Revision> revision = decodeRevisionRow(row);
        if (!revision.ok())
            return revision.status();
        if (revision->number > head)
            break;
        revisions.push_back(*std::move(revision));
    }
    return revisions;
}

absl::StatusOr<VersionedHead> readVersionedHead(const StoreHooks &store)
{
    const absl::StatusOr<std::vector<TableRow>> rows = store.read({headKey()});
    if (!rows.ok())
        return rows.status();
    return decodeHeadRow(rows->front());
}

absl::StatusOr<RevisionNumber> readHeadRevision(const StoreHooks &store)
{
    const absl::StatusOr<VersionedHead> latest = readVersionedHead(store);
    if (!latest.ok())
        return latest.status();
    return latest->head.revision;
}

absl::Status catchUpToRevision(const StoreHooks &store, RevisionNumber head, ConfigStore &config)
{
    if (head.value() > config.current()->revision().value() + snapshotIntervalRevisions) {
        if (absl::Status status = applyLatestSnapshot(store, config); !status.ok())
            return status;
    }
    while (config.current()->revision() < head) {
        absl::Status status = applyNextRevisions(store, head, config);
        if (status.ok())
            continue;
        if (errorKind(status) != ErrorKind::NotFound)
            return status;
        const RevisionNumber before = config.current()->revision();
        if (absl::Status snapshotStatus = applyLatestSnapshot(store, config); !snapshotStatus.ok())
            return snapshotStatus;
        if (config.current()->revision() == before)
            return makeError(ErrorKind::InvalidRow, status.message());
    }
    return absl::OkStatus();
}

} // namespace dandeliondock
