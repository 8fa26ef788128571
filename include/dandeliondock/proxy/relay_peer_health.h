#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/strong_type.h>
#include <dandeliondock/core/units.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <vector>

namespace dandeliondock {

/// \brief Time for which a proxy is not followed after it failed; doubles with each failure after that time.
inline constexpr Milliseconds initialPeerExclusion{3'000};
inline constexpr Milliseconds maxPeerExclusion{30'000};

/// \brief A call to another proxy for a table.
using RelayCallId = StrongType<struct RelayCallIdTag, std::uint64_t>;

/// \brief A proxy that is not followed for a while.
struct PeerExclusion
{
    Address address;
    Milliseconds duration{0};  ///< time for which it is not followed
    Milliseconds sinceCall{0}; ///< since the call that shows its failure
};

/// \brief Decides which proxies are followed, from how calls to them end.
///
/// A call without an answer shows nothing of the called proxy while nobody else answers either: the own link may be
/// full. It counts against the proxy once somebody else has answered a call that was sent when it was overdue.
///
/// \remark Not thread-safe.
class RelayPeerHealth
{
public:
    /// \brief A call is sent that should be answered by \c due.
    [[nodiscard]] RelayCallId callSent(const Address &door, MonotonicTime now, MonotonicTime due);

    /// \brief A call was answered with a usable reading.
    /// \return The proxies that are passed over from now on, as they are silent for longer.
    [[nodiscard]] std::vector<PeerExclusion> callSucceeded(RelayCallId call, MonotonicTime now);

    /// \brief A call that was sent to the platform at \c askedAt was answered.
    /// \return As callSucceeded().
    [[nodiscard]] std::vector<PeerExclusion> platformResponded(MonotonicTime askedAt, MonotonicTime now);

    /// \brief The called proxy showed that it cannot be followed. Several such calls while it is passed over count as
    /// one failure.
    [[nodiscard]] PeerExclusion callFailed(RelayCallId call, MonotonicTime now);

    /// \brief A call ended without an answer.
    void callTimedOut(RelayCallId call) { m_calls.erase(call); }

    /// \brief Whether a proxy may be called: not passed over, and no call to it is overdue.
    [[nodiscard]] bool isAvailable(const Address &door, MonotonicTime now) const;

private:
    struct Call
    {
        Address door;
        MonotonicTime askedAt;
        MonotonicTime due;
    };

    struct Distrust
    {
        MonotonicTime until;
        Milliseconds length{0};
    };

    [[nodiscard]] bool isTrusted(const Address &door, MonotonicTime now) const;
    [[nodiscard]] std::vector<PeerExclusion> passOverSilent(MonotonicTime askedAt, const Address &answering,
                                                            MonotonicTime now);
    [[nodiscard]] PeerExclusion passOver(const Address &door, MonotonicTime askedAt, MonotonicTime now);

    std::map<RelayCallId, Call> m_calls;
    absl::flat_hash_map<Address, Distrust> m_distrusted;
    std::uint64_t m_lastCall = 0;
};

} // namespace dandeliondock
