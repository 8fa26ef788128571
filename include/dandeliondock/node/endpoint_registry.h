#pragma once

#include <dandeliondock/core/time_source.h>
#include <dandeliondock/membership/endpoint_announcer.h>
#include <dandeliondock/membership/endpoint_directory.h>
#include <dandeliondock/node/control_hooks.h>
#include <dandeliondock/routing/router.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Callbacks of the endpoint registry. They are called without the registry's lock, except \c time.
struct EndpointRegistryHooks
{
    TimeSource time;
    std::function<void()> relayUpward; ///< called when a changed record must be sent to the parent
};

/// \brief Endpoint directory shared by the threads of a node, with the announcements of the local target.
///
/// \remark Every method is thread-safe. Every change is applied to the router before the method returns.
class EndpointRegistry
{
public:
    EndpointRegistry(RegionName region, std::shared_ptr<Router> router, EndpointRegistryHooks hooks);

    /// \brief Sets the local target and records it as starting.
    /// \pre Called at most once, before any other thread uses the registry.
    void setLocalTarget(Endpoint self);

    /// \brief Announces the state of the local target; does nothing on a node without one.
    void announce(EndpointState state);

    /// \brief Merges records received from other nodes. A record that wrongly describes the local target is refuted by
    /// a newer one.
    ///
    /// \return True when a record changed.
    bool merge(const std::vector<Endpoint> &records);

    /// \brief Marks the target of a node that stopped polling as gone.
    void markLost(const Address &controlAddress);

    /// \brief Records that updates of these regions arrived, and expires old records.
    void recordRegionContact(const std::vector<RegionName> &regions);

    /// \brief Returns the regions whose updates arrived within the last 5 s, and always the own region.
    [[nodiscard]] std::vector<RegionName> reachableRegions() const;

    [[nodiscard]] DirectoryDigest digest() const;
    [[nodiscard]] ChangeCursor cursor() const;

    /// \brief Returns the records that changed after \c after and that a node in region \c receiver needs.
    [[nodiscard]] EndpointChanges changes(ChangeCursor after, const RegionName &receiver) const;

    /// \brief Returns every record that a node in region \c receiver needs.
    [[nodiscard]] std::vector<Endpoint> all(const RegionName &receiver) const;

    /// \brief Returns a sample of the control addresses of nodes in the own region whose targets are not gone; the
    /// sample differs at each call.
    [[nodiscard]] std::vector<Address> sampleControlAddresses() const;

    /// \brief Returns the number of serving targets of a version.
    [[nodiscard]] std::uint32_t servingCount(const ServiceName &service, const VersionName &version) const;

private:
    // The caller of these methods holds m_mutex.
    void applyChange(const Endpoint &record);
    void expire(MonotonicTime now);
    [[nodiscard]] std::vector<Endpoint> filterForRegion(std::vector<Endpoint> records,
                                                        const RegionName &receiver) const;

    RegionName m_region;
    std::shared_ptr<Router> m_router;
    EndpointRegistryHooks m_hooks;
    mutable std::mutex m_mutex;
    EndpointDirectory m_directory;
    std::optional<EndpointAnnouncer> m_announcer;
    std::uint64_t m_sampleSeed = 0; ///< differs between nodes, so that they do not all poll the same candidates
    std::map<RegionName, MonotonicTime> m_lastContacts;
};

} // namespace dandeliondock
