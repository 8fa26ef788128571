#include <dandeliondock/node/lease_manager.h>

#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/store/config_reader.h>
#include <dandeliondock/store/snapshots.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr Milliseconds maxWait{1'000};

LeaseWriteResult toLeaseWriteResult(const absl::StatusOr<CommitResult> &result)
{
    if (result.ok())
        return result->committed ? LeaseWriteResult::Committed : LeaseWriteResult::Refused;
    return errorKind(result.status()) == ErrorKind::StoreUnavailable ? LeaseWriteResult::Unavailable
                                                                     : LeaseWriteResult::Unknown;
}

absl::StatusOr<std::vector<VersionedLease>> decodeLeaseRows(const std::vector<TableRow> &rows)
{
    std::vector<VersionedLease> leases;
    for (const TableRow &row : rows) {
        if (row.version == RowVersion{}) {
            leases.emplace_back();
            continue;
        }
        absl::StatusOr<LeaseRow> record = decodeLeaseRow(row);
        if (!record.ok())
            return record.status();
        leases.push_back({*std::move(record), row.version});
    }
    return leases;
}

} // namespace

LeaseManager::LeaseManager(std::shared_ptr<RelayCoordinator> coordinator)
    : m_coordinator(std::move(coordinator)),
      m_selection(leaseScopes(m_coordinator->identity().region, m_coordinator->identity().dataCentre,
                              m_coordinator->identity().storeRegion),
                  m_coordinator->identity().node, m_coordinator->identity().controlAddress,
                  m_coordinator->hooks().random())
{
    m_thread = std::thread([this] { run(); });
}

LeaseManager::~LeaseManager()
{
    stop();
}

void LeaseManager::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopRequested) {
        const bool readRequested = std::exchange(m_readRequested, false);
        lock.unlock();
        if (readRequested)
            readLeaseRows();
        step();
        publish();
        if (m_selection.holdsRoot(m_coordinator->hooks().time.monotonic()))
            readHead();
        waitForNextStep();
        lock.lock();
    }
    lock.unlock();
    release();
}

void LeaseManager::waitForNextStep()
{
    const MonotonicTime now = m_coordinator->hooks().time.monotonic();
    MonotonicTime until = std::min<MonotonicTime>(m_nextStep, now + maxWait);
    if (m_selection.holdsRoot(now))
        until = std::min(until, m_nextHeadRead);
    std::unique_lock lock(m_mutex);
    if (until > now)
        m_wake.wait_for(lock, until - now, [this] { return m_stopRequested || m_readRequested || m_headRequested; });
}

void LeaseManager::step()
{
    const MonotonicTime now = m_coordinator->hooks().time.monotonic();
    std::optional<Address> parent = m_coordinator->parent();
    if (parent->value().empty())
        parent.reset();
    const LeaseSelectionStep step =
            m_selection.next(now, m_coordinator->hooks().time.wall(), m_selection.shouldReadLeases(parent, now));
    m_nextStep = step.action == LeaseSelectionAction::Wait ? step.until : now;
    if (step.action == LeaseSelectionAction::ReadAll)
        readLeaseRows();
    if (step.action == LeaseSelectionAction::Write)
        write(step);
}

void LeaseManager::readLeaseRows()
{
    std::vector<RowKey> keys;
    for (const LeaseScope &scope : m_selection.scopes())
        keys.push_back(scope.key);
    m_coordinator->hooks().metrics->counter("dandeliondock_lease_reads_total").add();
    const auto rows = m_coordinator->hooks().store.read(keys);
    const auto leases = rows.ok() ? decodeLeaseRows(*rows) : rows.status();
    const MonotonicTime now = m_coordinator->hooks().time.monotonic();
    if (leases.ok()) {
        m_selection.onRead(*leases, now);
        return;
    }
    m_coordinator->report(LogLevel::Warn, "lease.read_failed", "dandeliondock_lease_errors_total",
                          errorKindName(errorKind(leases.status())));
    m_selection.onReadFailed(now);
}

void LeaseManager::write(const LeaseSelectionStep &step)
{
    const RowKey &key = m_selection.scopes()[step.scope].key;
    const MonotonicTime startedAt = m_coordinator->hooks().time.monotonic();
    const auto result = m_coordinator->hooks().store.commit(
            {{{key, step.write.version}}, {{key, encodeLeaseRow(step.write.record)}}});
    const LeaseWriteResult outcome = toLeaseWriteResult(result);
    m_selection.onWrite(step.scope, outcome, startedAt, m_coordinator->hooks().time.monotonic());
    if (outcome != LeaseWriteResult::Committed)
        m_coordinator->report(LogLevel::Warn, "lease.write_failed", "dandeliondock_lease_errors_total",
                              result.ok() ? "condition_failed" : errorKindName(errorKind(result.status())));
}

std::optional<FencingToken> LeaseManager::rootFence()
{
    const std::scoped_lock lock(m_mutex);
    if (!m_rootLease || m_coordinator->hooks().time.monotonic() >= m_rootLease->expiresAt)
        return std::nullopt;
    return m_rootLease->fence;
}

std::vector<RowKey> LeaseManager::heldLeases()
{
    const std::scoped_lock lock(m_mutex);
    return m_heldKeys;
}

void LeaseManager::publish()
{
    const MonotonicTime now = m_coordinator->hooks().time.monotonic();
    const std::optional<std::size_t> index = m_selection.held(now);
    std::vector<RowKey> keys;
    if (index)
        keys.push_back(m_selection.scopes()[*index].key);
    m_coordinator->setLeases({m_selection.higherHolders(now), index.has_value(), m_selection.holdsRoot(now),
                              index.has_value() || m_selection.heldAtLastContact()});
    const std::scoped_lock lock(m_mutex);
    m_rootLease = m_selection.rootLease(now);
    if (keys == m_heldKeys)
        return;
    for (const RowKey &key : m_heldKeys)
        LogEvent(LogLevel::Warn, "lease.ended").field("lease", key).write(m_coordinator->hooks().log);
    for (const RowKey &key : keys)
        LogEvent(LogLevel::Info, "lease.taken").field("lease", key).write(m_coordinator->hooks().log);
    m_heldKeys = std::move(keys);
}

void LeaseManager::readHead()
{
    const MonotonicTime now = m_coordinator->hooks().time.monotonic();
    if (!consumeHeadRequest() && now < m_nextHeadRead)
        return;
    m_nextHeadRead = now + headReadInterval;
    const absl::StatusOr<VersionedHead> head = readVersionedHead(m_coordinator->hooks().store);
    const absl::Status status = head.ok() ? catchUp(head->head) : head.status();
    if (!status.ok()) {
        m_coordinator->report(LogLevel::Warn, "store.poll_failed", "dandeliondock_store_errors_total",
                              errorKindName(errorKind(status)));
        return;
    }
    m_coordinator->confirmCurrent(now);
    m_coordinator->hooks().upstreamResponded();
    if (snapshotDue(head->head))
        writeConfigSnapshot();
}

void LeaseManager::writeConfigSnapshot()
{
    const absl::Status status = writeSnapshot(m_coordinator->hooks().store, *m_coordinator->hooks().config());
    if (!status.ok())
        m_coordinator->report(LogLevel::Warn, "store.snapshot_failed", "dandeliondock_store_errors_total",
                              errorKindName(errorKind(status)));
}

absl::Status LeaseManager::catchUp(const HeadRow &head)
{
    const ControlHooks &hooks = m_coordinator->hooks();
    while (hooks.config()->revision() < head.revision) {
        const auto revisions = scanRevisions(hooks.store, hooks.config()->revision(), head.revision);
        if (errorKind(revisions.status()) == ErrorKind::NotFound)
            return catchUpFromSnapshot(head.revision);
        if (!revisions.ok())
            return revisions.status();
        if (absl::Status status = m_coordinator->applyRevisions(*revisions); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status LeaseManager::catchUpFromSnapshot(RevisionNumber head)
{
    ConfigStore latest;
    if (absl::Status status = catchUpToRevision(m_coordinator->hooks().store, head, latest); !status.ok())
        return status;
    m_coordinator->applySnapshot(*latest.current());
    return absl::OkStatus();
}

void LeaseManager::release()
{
    if (!m_selection.held(m_coordinator->hooks().time.monotonic()))
        return;
    readLeaseRows();
    const std::optional<LeaseSelectionStep> step = m_selection.release(m_coordinator->hooks().time.monotonic());
    if (step)
        write(*step);
}

void LeaseManager::requestLeaseRead()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_readRequested = true;
    }
    m_wake.notify_all();
}

void LeaseManager::requestHeadRead()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_rootLease)
            return;
        m_headRequested = true;
    }
    m_wake.notify_all();
}

bool LeaseManager::consumeHeadRequest()
{
    const std::scoped_lock lock(m_mutex);
    return std::exchange(m_headRequested, false);
}

void LeaseManager::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopRequested = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace dandeliondock
