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

constexpr Milliseconds longestWait{1'000};

LeaseWriteResult toLeaseWrite(const absl::StatusOr<CommitResult> &result)
{
    if (result.ok())
        return result->committed ? LeaseWriteResult::Committed : LeaseWriteResult::Refused;
    return errorKind(result.status()) == ErrorKind::StoreUnavailable ? LeaseWriteResult::Unavailable
                                                                     : LeaseWriteResult::Unknown;
}

absl::StatusOr<std::vector<VersionedLease>> decodeRows(const std::vector<TableRow> &rows)
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

LeaseManager::LeaseManager(std::shared_ptr<RelayCoordinator> hub)
    : m_hub(std::move(hub)),
      m_duty(leaseScopes(m_hub->identity().region, m_hub->identity().dataCentre, m_hub->identity().storeRegion),
             m_hub->identity().node, m_hub->identity().controlAddress, m_hub->hooks().random())
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
        const bool readNow = std::exchange(m_readRequested, false);
        lock.unlock();
        if (readNow)
            readRows();
        step();
        publish();
        if (m_duty.holdsRoot(m_hub->hooks().time.monotonic()))
            readHead();
        waitForNext();
        lock.lock();
    }
    lock.unlock();
    release();
}

void LeaseManager::waitForNext()
{
    const MonotonicTime now = m_hub->hooks().time.monotonic();
    MonotonicTime until = std::min<MonotonicTime>(m_nextStep, now + longestWait);
    if (m_duty.holdsRoot(now))
        until = std::min(until, m_nextHead);
    std::unique_lock lock(m_mutex);
    if (until > now)
        m_wake.wait_for(lock, until - now, [this] { return m_stopRequested || m_readRequested || m_headRequested; });
}

void LeaseManager::step()
{
    const MonotonicTime now = m_hub->hooks().time.monotonic();
    std::optional<Address> parent = m_hub->parent();
    if (parent->value().empty())
        parent.reset();
    const LeaseSelectionStep step = m_duty.next(now, m_hub->hooks().time.wall(), m_duty.shouldReadLeases(parent, now));
    m_nextStep = step.action == LeaseSelectionAction::Wait ? step.until : now;
    if (step.action == LeaseSelectionAction::ReadAll)
        readRows();
    if (step.action == LeaseSelectionAction::Write)
        write(step);
}

void LeaseManager::readRows()
{
    std::vector<RowKey> keys;
    for (const LeaseScope &scope : m_duty.scopes())
        keys.push_back(scope.key);
    m_hub->hooks().metrics->counter("dandeliondock_lease_reads_total").add();
    const auto rows = m_hub->hooks().store.read(keys);
    const auto leases = rows.ok() ? decodeRows(*rows) : rows.status();
    const MonotonicTime now = m_hub->hooks().time.monotonic();
    if (leases.ok()) {
        m_duty.onRead(*leases, now);
        return;
    }
    m_hub->report(LogLevel::Warn, "lease.read_failed", "dandeliondock_lease_errors_total",
                  errorKindName(errorKind(leases.status())));
    m_duty.onReadFailed(now);
}

void LeaseManager::write(const LeaseSelectionStep &step)
{
    const RowKey &key = m_duty.scopes()[step.scope].key;
    const MonotonicTime started = m_hub->hooks().time.monotonic();
    const auto result =
            m_hub->hooks().store.commit({{{key, step.write.version}}, {{key, encodeLeaseRow(step.write.record)}}});
    const LeaseWriteResult outcome = toLeaseWrite(result);
    m_duty.onWrite(step.scope, outcome, started, m_hub->hooks().time.monotonic());
    if (outcome != LeaseWriteResult::Committed)
        m_hub->report(LogLevel::Warn, "lease.write_failed", "dandeliondock_lease_errors_total",
                      result.ok() ? "condition_failed" : errorKindName(errorKind(result.status())));
}

std::optional<FencingToken> LeaseManager::rootFence()
{
    const std::scoped_lock lock(m_mutex);
    if (!m_rootTerm || m_hub->hooks().time.monotonic() >= m_rootTerm->until)
        return std::nullopt;
    return m_rootTerm->fence;
}

std::vector<RowKey> LeaseManager::held()
{
    const std::scoped_lock lock(m_mutex);
    return m_lastHeld;
}

void LeaseManager::publish()
{
    const MonotonicTime now = m_hub->hooks().time.monotonic();
    const std::optional<std::size_t> index = m_duty.held(now);
    std::vector<RowKey> keys;
    if (index)
        keys.push_back(m_duty.scopes()[*index].key);
    m_hub->setLeases({m_duty.higherHolders(now), index.has_value(), m_duty.holdsRoot(now),
                      index.has_value() || m_duty.heldAtLastContact()});
    const std::scoped_lock lock(m_mutex);
    m_rootTerm = m_duty.rootTerm(now);
    if (keys == m_lastHeld)
        return;
    for (const RowKey &key : m_lastHeld)
        LogEvent(LogLevel::Warn, "lease.ended").field("lease", key).write(m_hub->hooks().log);
    for (const RowKey &key : keys)
        LogEvent(LogLevel::Info, "lease.taken").field("lease", key).write(m_hub->hooks().log);
    m_lastHeld = std::move(keys);
}

void LeaseManager::readHead()
{
    const MonotonicTime now = m_hub->hooks().time.monotonic();
    if (!takeHeadRequest() && now < m_nextHead)
        return;
    m_nextHead = now + headReadInterval;
    const absl::StatusOr<VersionedHead> head = readVersionedHead(m_hub->hooks().store);
    const absl::Status status = head.ok() ? catchUp(head->head) : head.status();
    if (!status.ok()) {
        m_hub->report(LogLevel::Warn, "store.poll_failed", "dandeliondock_store_errors_total",
                      errorKindName(errorKind(status)));
        return;
    }
    m_hub->confirmCurrent(now);
    m_hub->hooks().upstreamResponded();
    if (snapshotDue(head->head))
        takeSnapshot();
}

void LeaseManager::takeSnapshot()
{
    const absl::Status status = writeSnapshot(m_hub->hooks().store, *m_hub->hooks().config());
    if (!status.ok())
        m_hub->report(LogLevel::Warn, "store.snapshot_failed", "dandeliondock_store_errors_total",
                      errorKindName(errorKind(status)));
}

absl::Status LeaseManager::catchUp(const HeadRow &head)
{
    const ControlHooks &hooks = m_hub->hooks();
    while (hooks.config()->revision() < head.revision) {
        const auto revisions = scanRevisions(hooks.store, hooks.config()->revision(), head.revision);
        if (errorKind(revisions.status()) == ErrorKind::NotFound)
            return startFromSnapshot(head.revision);
        if (!revisions.ok())
            return revisions.status();
        if (absl::Status status = m_hub->applyRevisions(*revisions); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status LeaseManager::startFromSnapshot(RevisionNumber head)
{
    ConfigStore latest;
    if (absl::Status status = catchUpToRevision(m_hub->hooks().store, head, latest); !status.ok())
        return status;
    m_hub->applySnapshot(*latest.current());
    return absl::OkStatus();
}

void LeaseManager::release()
{
    if (!m_duty.held(m_hub->hooks().time.monotonic()))
        return;
    readRows();
    const std::optional<LeaseSelectionStep> step = m_duty.release(m_hub->hooks().time.monotonic());
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
        if (!m_rootTerm)
            return;
        m_headRequested = true;
    }
    m_wake.notify_all();
}

bool LeaseManager::takeHeadRequest()
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
