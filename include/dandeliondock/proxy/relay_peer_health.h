#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/strong_type.h>
#include <dandeliondock/core/units.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <vector>

namespace dandeliondock {

/// \brief Time for which a peer is excluded after its first failure; doubles with each failure after an exclusion.
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

    /// \brief Records that a call failed, and excludes the peer. Further failures during its exclusion do not extend
    /// the exclusion.
    /// \return The exclusion in force; an empty one when the call is unknown.
    [[nodiscard]] PeerExclusion callFailed(RelayCallId call, MonotonicTime now);

    /// \brief Forgets a call that ended without a response.
    void callTimedOut(RelayCallId call) { m_calls.erase(call); }

    /// \brief Whether a peer may be called: it is not excluded and no call to it is overdue.
    [[nodiscard]] bool isAvailable(const Address &peer, MonotonicTime now) const;

private:
    struct Call
    {
        Address peer;
        MonotonicTime sentAt;
        MonotonicTime due;
    };

    struct Exclusion
    {
        MonotonicTime until;
        Milliseconds duration{0};
    };

    /// Whether no exclusion of the peer is in force.
    [[nodiscard]] bool isEligible(const Address &peer, MonotonicTime now) const;
    /// Excludes the peers whose responses were already due at \c sentAt, when the call that now has a response was
    /// sent. \c respondingPeer is empty for a response of the platform.
    [[nodiscard]] std::vector<PeerExclusion> excludeUnresponsive(MonotonicTime sentAt, const Address &respondingPeer,
                                                                 MonotonicTime now);
    [[nodiscard]] PeerExclusion exclude(const Address &peer, MonotonicTime sentAt, MonotonicTime now);

    std::map<RelayCallId, Call> m_calls;
    absl::flat_hash_map<Address, Exclusion> m_exclusions;
    std::uint64_t m_lastCallId = 0;
};

} // namespace dandeliondock
