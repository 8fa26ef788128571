#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/strong_type.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/relay/relay_parent.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Time for which a peer is excluded after its first failure, and the longest such time; it doubles with each
/// failure after an exclusion.
inline constexpr Milliseconds initialPeerExclusion{3'000};
inline constexpr Milliseconds maxPeerExclusion{30'000};

/// \brief Identifies a table call to a relay peer.
using RelayCallId = StrongType<struct RelayCallIdTag, std::uint64_t>;

/// \brief A temporary exclusion of a relay peer.
struct PeerExclusion
{
    Address address;
    Milliseconds duration{0};  ///< time for which the peer is excluded
    Milliseconds sinceCall{0}; ///< time since the call that revealed the failure was sent
};

/// \brief Tracks the calls to relay peers and excludes peers that fail or do not respond.
///
/// A missing response alone does not count as a failure of the peer, because the link of the calling proxy may be
/// saturated. It counts once another peer or the platform has responded to a call that was sent after the response of
/// the peer was due.
///
/// A peer that was excluded because it did not respond stays excluded until it responds to a probe, so that a lost peer
/// delays no further read.
///
/// \remark Not thread-safe.
class RelayPeerHealth
{
public:
    /// \brief Records that a call is sent whose response is expected by \c due.
    [[nodiscard]] RelayCallId callSent(const Address &peer, MonotonicTime now, MonotonicTime due);

    /// \brief Records a usable response to a call.
    /// \return The peers that are excluded from now on because their own responses were due before this call was sent.
    [[nodiscard]] std::vector<PeerExclusion> callSucceeded(RelayCallId call, MonotonicTime now);

    /// \brief Records that the platform responded to a call that was sent at \c sentAt.
    /// \return Like callSucceeded().
    [[nodiscard]] std::vector<PeerExclusion> platformResponded(MonotonicTime sentAt, MonotonicTime now);

    /// \brief Records that the connection of a call failed before a response, and excludes the peer for a time. Further
    /// failures during its exclusion do not extend the exclusion.
    /// \return The exclusion in force; an empty one when the call is unknown.
    [[nodiscard]] PeerExclusion callFailed(RelayCallId call, MonotonicTime now);

    /// \brief Records an unusable response to a call, and excludes the peer like callFailed().
    [[nodiscard]] PeerExclusion callRejected(RelayCallId call, MonotonicTime now);

    /// \brief Records that no response to a call arrived in time. The call stays evidence against the peer until some
    /// source responds to a later call.
    void callTimedOut(RelayCallId call, MonotonicTime now);

    /// \brief Whether a peer may be called: it is not excluded and no call to it is overdue.
    [[nodiscard]] bool isAvailable(const Address &peer, MonotonicTime now) const;

    /// \brief Returns the peer of a call that has not ended; empty for an unknown call.
    [[nodiscard]] std::optional<Address> peerOf(RelayCallId call) const;

    /// \brief Whether a peer is excluded because it did not respond.
    [[nodiscard]] bool isUnresponsive(const Address &peer) const;

    /// \brief Whether any peer is excluded because it did not respond.
    [[nodiscard]] bool hasUnresponsivePeers() const;

    /// \brief Whether a probe may be sent to an unresponsive peer: the time of its exclusion has passed and no call to
    /// it is in progress.
    [[nodiscard]] bool isProbeDue(const Address &peer, MonotonicTime now) const;

    /// \brief Returns the number of calls, sent since the latest response of any peer, whose response is overdue or did
    /// not arrive in time.
    [[nodiscard]] std::size_t unansweredCalls(MonotonicTime now) const;

    /// \brief Forgets the exclusions of peers that are no longer known.
    void retain(const std::vector<RelayPeer> &peers);

private:
    struct Call
    {
        Address peer;
        MonotonicTime sentAt;
        MonotonicTime due;
        bool hasTimedOut = false;
    };

    struct Exclusion
    {
        MonotonicTime until;
        Milliseconds duration{0};
        bool isUnresponsive = false; ///< in force until the peer responds to a probe
    };

    /// Whether no exclusion of the peer is in force.
    [[nodiscard]] bool isEligible(const Address &peer, MonotonicTime now) const;
    /// Excludes the peers whose responses were already due at \c sentAt, when the call that now has a response was
    /// sent. \c respondingPeer is empty for a response of the platform.
    [[nodiscard]] std::vector<PeerExclusion> excludeUnresponsive(MonotonicTime sentAt, const Address &respondingPeer,
                                                                 MonotonicTime now);
    PeerExclusion exclude(const Call &call, MonotonicTime now);
    void recordResponse(MonotonicTime now);
    void forgetOldCalls(MonotonicTime now);

    std::map<RelayCallId, Call> m_calls;
    absl::flat_hash_map<Address, Exclusion> m_exclusions;
    std::uint64_t m_lastCallId = 0;
    MonotonicTime m_lastResponseAt;
    std::size_t m_timedOutCalls = 0; ///< calls without a response that were sent since the latest response of any peer
};

} // namespace dandeliondock
