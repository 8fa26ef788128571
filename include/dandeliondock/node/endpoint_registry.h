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

/// \brief How the endpoint board reaches the rest of the node. Hooks are called without the board's lock.
struct EndpointRegistryHooks
{
    TimeSource time;
    std::function<void()> relayUpward; ///< a record of this node is to be relayed upward
};

/// \brief The endpoint directory shared by the threads of a node, and the announcements of the local target.
///
/// \remark Every method is thread-safe. Every change is handed to the router before the method returns.
class EndpointRegistry
{
public:
    EndpointRegistry(RegionName region, std::shared_ptr<Router> router, EndpointRegistryHooks hooks);

    /// \brief Sets the target beside this node, which is announced as starting.
    /// \pre Called at most once, before any other thread uses the board.
    void setLocalTarget(Endpoint self);

    /// \brief Announces the state of the local target; does nothing on a node without one.
    void announce(EndpointState state);

    /// \brief Takes records of other nodes; true when something changed.
    bool merge(const std::vector<Endpoint> &records);

    /// \brief Marks the target beside a node that stopped polling as gone.
    void markLost(const Address &controlAddress);

    /// \brief Notes news of regions and drops what is too old.
    void recordRegionContact(const std::vector<RegionName> &regions);

    /// \brief Regions that were heard from lately, the own one included.
    [[nodiscard]] std::vector<RegionName> reachableRegions() const;

    [[nodiscard]] DirectoryDigest digest() const;
    [[nodiscard]] ChangeCursor cursor() const;

    /// \brief Records that changed after \c after, for a node of region \c receiver.
    [[nodiscard]] EndpointChanges changes(ChangeCursor after, const RegionName &receiver) const;

    /// \brief Every record, for a node of region \c receiver.
    [[nodiscard]] std::vector<Endpoint> all(const RegionName &receiver) const;

    /// \brief Control addresses of a few nodes of the own region beside targets that live, other ones at each call.
    [[nodiscard]] std::vector<Address> sampleControlAddresses() const;

    /// \brief Number of targets of a version that serve.
    [[nodiscard]] std::uint32_t servingCount(const ServiceName &service, const VersionName &version) const;

private:
    // All of these need the lock.
    void applyChange(const Endpoint &record);
    void expire(MonotonicTime now);
    [[nodiscard]] std::vector<Endpoint> forRegion(std::vector<Endpoint> records, const RegionName &receiver) const;

    RegionName m_region;
    std::shared_ptr<Router> m_router;
    EndpointRegistryHooks m_hooks;
    mutable std::mutex m_mutex;
    EndpointDirectory m_directory;
    std::optional<EndpointAnnouncer> m_self;
    std::uint64_t m_sampleSeed = 0; ///< differs between nodes, so that they do not all ask the same candidates
    std::map<RegionName, MonotonicTime> m_contacts;
};

} // namespace dandeliondock
