#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/relay/relay_parent.h>
#include <dandeliondock/relay/relay_peer_health.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace dandeliondock {

/// \brief Most sources that one poll for changes calls: the parent, and a second one when the parent is overdue.
inline constexpr std::size_t maxChangeSources = 2;
/// \brief Most sources that one read of a full table calls. A proxy that starts may know peers that have no copy yet.
inline constexpr std::size_t maxFullReadSources = 4;
/// \brief Time for which a proxy polls the platform after its parent failed, because the next parent may have failed as
/// well.
inline constexpr Milliseconds platformFallbackTime{2'000};
/// \brief Time for which a proxy that has another source does not call the platform after it failed.
inline constexpr Milliseconds platformRetryInterval{1'000};
/// \brief Number of proxies of each data centre, in the order of their addresses, that may read from outside of their
/// region in a large fleet: its readers. It bounds the copies that cross the link of a region at the same time,
/// whatever the size of the fleet, and one data centre without the platform leaves the region the readers of the
/// others.
inline constexpr std::size_t maxPlatformReaders = 2;
/// \brief Number of proxies of a region, in the order of their addresses, that call its readers whatever their order
/// when their parent has no recent copy. The others get the changes from these.
inline constexpr std::size_t maxReaderChildren = relayFanOut * relayFanOut;
/// \brief Largest number of full tables that one proxy of a large fleet reads from the platform at the same time. Slow
/// reads are awaited instead of repeated.
inline constexpr std::size_t maxFullPlatformReads = 2;
/// \brief Time for which a peer without a copy of a table is not called again; a peer that has just started has one
/// soon.
inline constexpr Milliseconds missingCopyInterval{500};
/// \brief Time for which peers with recent copies are preferred to one whose copy was too old.
inline constexpr Milliseconds outdatedCopyInterval{1'500};
/// \brief Largest number of confirmation probes of one proxy without a response. A probe without a response ends after
/// 3 s, so that a new one can be sent at every interval.
inline constexpr std::size_t maxOpenConfirmationProbes = 16;
/// \brief The same for a proxy of a large fleet that may read from the platform; the others get their confirmations
/// from it.
inline constexpr std::size_t maxOpenProbesOfReader = 2;

/// \brief Source to which a read of a table is sent.
struct RelaySource
{
    enum class Kind {
        None, ///< no further source is called
        Peer,
        Platform,
    };

    Kind kind = Kind::None;
    Address peer; ///< for Peer

    bool operator==(const RelaySource &) const = default;
};

/// \brief Progress of a read of a table.
struct RelayReadProgress
{
    bool isFull = false;
    std::size_t calledSources = 0;
    bool hasCalledPlatform = false;
};

/// \brief What follows from the copy of a table that a peer sent.
struct CopyAssessment
{
    bool isRecent = false; ///< whether the peer is in contact with the platform
    /// Age with which the copy is passed on. One of a peer that comes later in the order counts as old: that peer may
    /// read from this proxy again when its copy seems recent.
    Milliseconds age{0};
    std::vector<PeerExclusion> exclusions; ///< peers that are excluded from now on
};

/// \brief Selects the sources of the tables: other proxies, or the platform.
///
/// Only calls that fail or get no response exclude a peer. A copy that is too old is used like any other, because
/// versions only rise, but sources with recent copies are preferred: while the platform is away every copy grows old,
/// and a proxy that rejected them would leave the proxies below it without a source as well. In a large fleet only the
/// first proxies of each data centre that are not known to have failed read from outside of their region.
///
/// \remark Not thread-safe.
class RelaySourceSelection
{
public:
    explicit RelaySourceSelection(RelayPeer self) : m_self(std::move(self)) {}

    /// \brief Replaces the known serving proxies.
    void setPeers(std::vector<RelayPeer> peers);

    /// \brief Returns the first source of a read.
    [[nodiscard]] RelaySource firstSource(bool isFull, MonotonicTime now) const;

    /// \brief Returns the next source of a read after the failure of a peer, or when its response is overdue.
    [[nodiscard]] RelaySource nextSource(const RelayReadProgress &read, MonotonicTime now) const;

    /// \brief Returns an unresponsive peer that would be the parent if it responded again, when a probe to it is due.
    [[nodiscard]] std::optional<Address> peerToProbe(MonotonicTime now) const;

    /// \brief Whether this proxy may read from the platform when its parent fails or has an old copy.
    [[nodiscard]] bool mayReadPlatform(MonotonicTime now) const;

    /// \brief Whether the fleet is a large one, see largeFleetThreshold.
    [[nodiscard]] bool isLargeFleet() const;

    /// \brief Returns how many confirmation probes of this proxy to the platform may be without a response.
    [[nodiscard]] std::size_t openProbeLimit(MonotonicTime now) const;

    /// \brief Records a call to a peer, see RelayPeerHealth::callSent().
    [[nodiscard]] RelayCallId callSent(const Address &peer, MonotonicTime now, MonotonicTime due)
    {
        return m_health.callSent(peer, now, due);
    }

    /// \brief Records that a call got a response that carries no copy but shows that the peer works.
    /// \return The peers that are excluded from now on.
    [[nodiscard]] std::vector<PeerExclusion> responseReceived(RelayCallId call, MonotonicTime now);

    /// \brief Records that a call got a copy of a table.
    /// \param age time since the platform confirmed the copy
    [[nodiscard]] CopyAssessment copyReceived(RelayCallId call, Milliseconds age, MonotonicTime now);

    /// \brief Records that a peer has no copy of the table.
    /// \return The peers that are excluded from now on.
    [[nodiscard]] std::vector<PeerExclusion> copyMissing(RelayCallId call, MonotonicTime now);

    /// \brief Records a response that cannot be read.
    /// \return The exclusion of the peer that is in force.
    [[nodiscard]] PeerExclusion responseInvalid(RelayCallId call, MonotonicTime now);

    /// \brief Records that the connection of a call failed.
    /// \return The exclusion of the peer that is in force.
    [[nodiscard]] PeerExclusion callFailed(RelayCallId call, MonotonicTime now);

    /// \brief Records that a call got no response in time.
    void callTimedOut(RelayCallId call, MonotonicTime now) { m_health.callTimedOut(call, now); }

    /// \brief Records that a read from the platform begins.
    void platformCalled(bool isFull, MonotonicTime now);

    /// \brief Records the end of a read from the platform, with or without a result.
    /// \pre platformCalled() was called for this read with the same \c isFull.
    void platformCallEnded(bool isFull);

    /// \brief Records that the platform responded to a call that was sent at \c sentAt.
    /// \return The peers that are excluded from now on.
    [[nodiscard]] std::vector<PeerExclusion> platformResponded(MonotonicTime sentAt, MonotonicTime now);

    /// \brief Records that a call to the platform failed or got no response.
    void platformFailed(MonotonicTime now) { m_platformAvoidedUntil = now + platformRetryInterval; }

    /// \brief Returns the number of calls without a response, see RelayPeerHealth::unansweredCalls().
    [[nodiscard]] std::size_t unansweredCalls(MonotonicTime now) const { return m_health.unansweredCalls(now); }

private:
    /// What is known about the copies of a peer.
    struct PeerCopies
    {
        MonotonicTime missingUntil;
        MonotonicTime outdatedUntil;
    };

    enum class CopyAge {
        Recent,
        Any,
    };

    [[nodiscard]] RelaySource select(bool isFull, MonotonicTime now) const;
    /// Returns the peers that may be the parent.
    [[nodiscard]] std::vector<RelayPeer> candidates(CopyAge age, bool mayLeaveRegion, MonotonicTime now) const;
    [[nodiscard]] bool hasCopy(const Address &peer, CopyAge age, MonotonicTime now) const;
    /// Returns the other proxies that read from outside of their region.
    [[nodiscard]] std::vector<RelayPeer> readers() const;
    /// Returns a reader of the own region that may have a recent copy.
    [[nodiscard]] std::optional<Address> recentReader(MonotonicTime now) const;
    /// Number of known proxies of the own region that come before this one.
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] bool isBefore(const RelayPeer &peer) const;
    void preferPlatform(MonotonicTime now);
    std::vector<PeerExclusion> recorded(std::vector<PeerExclusion> exclusions, MonotonicTime now);

    RelayPeer m_self;
    std::vector<RelayPeer> m_peers;
    RelayPeerHealth m_health;
    absl::flat_hash_map<Address, PeerCopies> m_copies;
    MonotonicTime m_platformPreferredUntil;
    MonotonicTime m_platformAvoidedUntil;
    MonotonicTime m_platformCalledAt;
    std::size_t m_fullPlatformReads = 0; ///< in progress
};

} // namespace dandeliondock
