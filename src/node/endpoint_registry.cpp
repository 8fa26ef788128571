#include <dandeliondock/node/endpoint_registry.h>

#include <dandeliondock/core/stable_hash.h>

#include <utility>

namespace dandeliondock {

namespace {

// Time since the last contact up to which a region counts as reachable. It is longer than a few polls, and shorter than
// the time after which the summary of an unreachable region expires.
constexpr Milliseconds contactWindow{5'000};

// Enough candidates for a node that lost its parent to find a new one before it reads the store.
constexpr std::size_t controlAddressSampleSize = 32;

} // namespace

EndpointRegistry::EndpointRegistry(RegionName region, std::shared_ptr<Router> router, EndpointRegistryHooks hooks)
    : m_region(std::move(region)), m_router(std::move(router)), m_hooks(std::move(hooks)), m_directory(m_region)
{
}

void EndpointRegistry::setLocalTarget(Endpoint self)
{
    const std::scoped_lock lock(m_mutex);
    m_sampleSeed = stableHash(self.controlAddress.value());
    m_announcer.emplace(std::move(self));
    applyChange(m_announcer->current());
}

void EndpointRegistry::applyChange(const Endpoint &record)
{
    if (m_directory.merge(record, m_hooks.time.monotonic()))
        m_router->applyEndpoints({&record, 1});
}

void EndpointRegistry::announce(EndpointState state)
{
    {
        const std::scoped_lock lock(m_mutex);
        const std::optional<Endpoint> record = m_announcer ? m_announcer->report(state) : std::nullopt;
        if (!record)
            return;
        applyChange(*record);
    }
    m_hooks.relayUpward();
}

bool EndpointRegistry::merge(const std::vector<Endpoint> &records)
{
    bool refuted = false;
    bool changed = false;
    {
        const std::scoped_lock lock(m_mutex);
        const MonotonicTime now = m_hooks.time.monotonic();
        std::vector<Endpoint> updates;
        for (const Endpoint &record : records) {
            if (m_directory.merge(record, now))
                updates.push_back(record);
        }
        m_router->applyEndpoints(updates);
        changed = !updates.empty();
        for (const Endpoint &record : updates) {
            const bool isOwn = m_announcer && record.target == m_announcer->current().target;
            const std::optional<Endpoint> refutation = isOwn ? m_announcer->observe(record) : std::nullopt;
            if (!refutation)
                continue;
            applyChange(*refutation);
            refuted = true;
        }
        m_router->setCallers(m_directory.liveTargetsInRegion());
    }
    if (refuted)
        m_hooks.relayUpward();
    return changed;
}

void EndpointRegistry::markLost(const Address &controlAddress)
{
    {
        const std::scoped_lock lock(m_mutex);
        const Endpoint *lost = m_directory.findByControlAddress(controlAddress);
        if (lost == nullptr)
            return;
        const std::optional<Endpoint> gone = m_directory.markGone(lost->target, m_hooks.time.monotonic());
        if (!gone)
            return;
        m_router->applyEndpoints({&*gone, 1});
    }
    m_hooks.relayUpward();
}

void EndpointRegistry::recordRegionContact(const std::vector<RegionName> &regions)
{
    const std::scoped_lock lock(m_mutex);
    const MonotonicTime now = m_hooks.time.monotonic();
    for (const RegionName &region : regions) {
        m_lastContacts[region] = now;
        m_directory.recordContact(region, now);
    }
    expire(now);
}

void EndpointRegistry::expire(MonotonicTime now)
{
    m_directory.recordContact(m_region, now);
    const std::vector<TargetId> dropped = m_directory.expire(now);
    if (!dropped.empty())
        m_router->removeEndpoints(dropped);
}

std::vector<RegionName> EndpointRegistry::reachableRegions() const
{
    const std::scoped_lock lock(m_mutex);
    const MonotonicTime now = m_hooks.time.monotonic();
    std::vector<RegionName> regions = {m_region};
    for (const auto &[region, lastContact] : m_lastContacts) {
        if (region != m_region && now - lastContact < contactWindow)
            regions.push_back(region);
    }
    return regions;
}

DirectoryDigest EndpointRegistry::digest() const
{
    const std::scoped_lock lock(m_mutex);
    return DirectoryDigest(m_directory.digest());
}

ChangeCursor EndpointRegistry::cursor() const
{
    const std::scoped_lock lock(m_mutex);
    return ChangeCursor(m_directory.version().value());
}

std::vector<Endpoint> EndpointRegistry::filterForRegion(std::vector<Endpoint> records, const RegionName &receiver) const
{
    if (receiver == m_region || receiver.value().empty())
        return records;
    // Of this region's targets, another region gets those of the summary and those in a final state.
    std::erase_if(records, [&](const Endpoint &record) {
        if (record.region == receiver)
            return true;
        const bool isSentAcross = isTerminal(record.stamp.state) || m_directory.isInSummary(record);
        return record.region == m_region && !isSentAcross;
    });
    return records;
}

EndpointChanges EndpointRegistry::changes(ChangeCursor after, const RegionName &receiver) const
{
    const std::scoped_lock lock(m_mutex);
    return {filterForRegion(m_directory.changesSince(DirectoryVersion(after.value())), receiver),
            ChangeCursor(m_directory.version().value())};
}

std::vector<Endpoint> EndpointRegistry::all(const RegionName &receiver) const
{
    const std::scoped_lock lock(m_mutex);
    return filterForRegion(m_directory.all(), receiver);
}

std::vector<Address> EndpointRegistry::sampleControlAddresses() const
{
    const std::scoped_lock lock(m_mutex);
    const auto ticks = static_cast<std::uint64_t>(m_hooks.time.monotonic().time_since_epoch().count());
    return m_directory.sampleControlAddresses(controlAddressSampleSize, stableCombine(m_sampleSeed, ticks));
}

std::uint32_t EndpointRegistry::servingCount(const ServiceName &service, const VersionName &version) const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::uint32_t>(m_directory.servingCount(service, version));
}

} // namespace dandeliondock
