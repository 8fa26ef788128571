#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/relay/relay_parent.h>
#include <dandeliondock/relay/relay_peer_health.h>

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace dandeliondock {

/// \brief Most sources that one poll for changes calls: the parent, and a second one when the parent is overdue.
inline constexpr std::size_t maxChangeSources = 2;
/// \brief Failed attempts to read a full table through peers after which it is read from the platform. A full table is
/// long, and hundreds of proxies that start together would saturate a link between regions with copies of it.
inline constexpr int maxFullReadAttempts = 3;
/// \brief Time for which a proxy polls the platform after its parent failed, because the next parent may have failed as
/// well.
inline constexpr Milliseconds platformFallbackTime{2'000};
/// \brief Number of proxies per region, in the order of their addresses, that may read from the platform in a large
/// fleet when their parent fails.
inline constexpr std::size_t maxPlatformReaders = 8;

/// \brief Largest number of confirmation probes of one proxy without a response. A probe without a response ends after
/// 3 s, so that a new one can be sent at every interval.
inline constexpr std::size_t maxOpenConfirmationProbes = 16;

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
    bool isUsable = false;
    std::vector<PeerExclusion> exclusions; ///< peers that are excluded from now on
};

/// \brief Selects the sources of the tables: other proxies, or the platform.
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

    /// \brief Returns the next source of a read whose latest response is overdue.
    [[nodiscard]] RelaySource sourceWhenOverdue(const RelayReadProgress &read, MonotonicTime now);

    /// \brief Returns the next source of a read after the failure of a peer.
    [[nodiscard]] RelaySource sourceAfterFailure(const RelayReadProgress &read, MonotonicTime now);

    /// \brief Returns an unresponsive peer that would be the parent if it responded again, when a probe to it is due.
    [[nodiscard]] std::optional<Address> peerToProbe(MonotonicTime now) const;

    /// \brief Whether this proxy may read from the platform when its parent fails.
    [[nodiscard]] bool mayReadPlatform(MonotonicTime now) const;

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
    [[nodiscard]] CopyAssessment copyReceived(RelayCallId call, Milliseconds age, bool isFull, MonotonicTime now);

    /// \brief Records that a peer has no copy of the table.
    /// \return The exclusion of the peer that is in force.
    [[nodiscard]] std::optional<PeerExclusion> copyMissing(RelayCallId call, MonotonicTime now);

    /// \brief Records a response that cannot be read.
    /// \return The exclusion of the peer that is in force.
    [[nodiscard]] PeerExclusion responseInvalid(RelayCallId call, MonotonicTime now);

    /// \brief Records that the connection of a call failed.
    /// \return The exclusion of the peer that is in force.
    [[nodiscard]] PeerExclusion callFailed(RelayCallId call, MonotonicTime now);

    /// \brief Records that a call got no response in time.
    void callTimedOut(RelayCallId call, MonotonicTime now) { m_health.callTimedOut(call, now); }

    /// \brief Records that the platform responded to a call that was sent at \c sentAt.
    /// \return The peers that are excluded from now on.
    [[nodiscard]] std::vector<PeerExclusion> platformResponded(MonotonicTime sentAt, MonotonicTime now);

    /// \brief Returns the number of calls without a response, see RelayPeerHealth::unansweredCalls().
    [[nodiscard]] std::size_t unansweredCalls(MonotonicTime now) const { return m_health.unansweredCalls(now); }

private:
    [[nodiscard]] bool isLargeFleet() const;
    [[nodiscard]] RelaySource select(bool isFull, MonotonicTime now) const;
    [[nodiscard]] bool isPlatformNext(bool isFull, MonotonicTime now) const;
    std::vector<PeerExclusion> recorded(std::vector<PeerExclusion> exclusions, MonotonicTime now);

    RelayPeer m_self;
    std::vector<RelayPeer> m_peers;
    RelayPeerHealth m_health;
    int m_fullReadFailures = 0; ///< consecutive
    MonotonicTime m_platformPreferredUntil;
};

} // namespace dandeliondock
