#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/places/cold_bounds.h>
#include <dandeliondock/places/cold_report.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dandeliondock {

/// \brief Cold start of the targets of a service, from the configuration.
struct ColdStart
{
    Milliseconds duration{0};
    RequestRate rate{0.0}; ///< requests per second that a cold target can process; 0 for no limit

    bool operator==(const ColdStart &) const = default;
};

/// \brief Delay before the state of a target is requested again after a response and after a failure.
inline constexpr Milliseconds coldProbeInterval{20};
inline constexpr Milliseconds coldProbeRetryDelay{100};
/// \brief Part of the burst of the bound that is used; clocks and the connection to the target take up the rest.
inline constexpr double usedSlackShare = 0.5;
/// \brief Parts of the bound that may be sent to a warm target in a second after it last confirmed that it is warm: at
/// the first one its state is requested, at the second one it counts as cold until it responds. The second one does not
/// apply after maxFailedProbes: the health path of the service is not usable then, and a warm
/// target would get the rate of a cold one.
inline constexpr double probeShare = 0.5;
inline constexpr double unconfirmedShare = 0.75;
/// \brief Number of failed probes in a row, about a second of them, from which the health path counts as not usable.
inline constexpr int maxFailedProbes = 10;
/// \brief Time within which an announcement may have been written before the sign that the target is cold was seen.
inline constexpr Milliseconds announcementDelay{200};
/// \brief Shortest time for which the limit applies after a sign, if the target does not respond to probes.
inline constexpr Milliseconds minSuspicion{1'000};
/// \brief Duration that is reported for the limit while the state of the target is not known.
inline constexpr Milliseconds suspicionReport{200};
/// \brief Time after which a sender may try again at a target whose rate is not known yet.
inline constexpr Milliseconds configurationDelay{100};
/// \brief Longest wait that a sender is told. A hundred senders of a target with 10 requests per second fit; with a
/// shorter one, many senders come back before their turn and are refused again.
inline constexpr Milliseconds maxColdWait{10'000};

/// \brief Decides how many requests the target on this instance gets while it is cold.
///
/// A token bucket holds the rate. It is filled at the rate and charged with every request, also while the target is
/// warm, so that requests sent just before the target was found to be cold count. The target counts as cold from a
/// report until a report that it is warm; while there is a sign that it may be cold, such as a new process or a broken
/// connection, the limit applies as well, until a probe has shown its state.
///
/// \remark Not thread-safe.
class ColdAdmission
{
public:
    explicit ColdAdmission(const ColdBounds &bounds) : m_bounds(bounds) {}

    /// \brief Sets the rate; a rate of 0 removes the limit. Until the first call, a target that announced that it is
    /// cold gets nothing.
    void setColdStart(const ColdStart &coldStart, MonotonicTime now);

    /// \brief Records what the target announced: the time for which it stays cold, 0 if it is warm.
    void recordAnnouncement(Milliseconds remaining, MonotonicTime now);

    /// \brief Records a sign that the target may have become cold.
    void suspect(MonotonicTime now);

    /// \brief Whether the state of the target should be requested now.
    [[nodiscard]] bool isProbeDue(MonotonicTime now) const;

    /// \brief Records that the state of the target is requested.
    /// \pre isProbeDue().
    void startProbe(MonotonicTime now);

    /// \brief Records the response to a probe: the time for which the target stays cold, or empty without a usable
    /// response.
    /// \pre startProbe() was called and the probe has not ended.
    void finishProbe(std::optional<Milliseconds> remaining, MonotonicTime now);

    /// \brief Whether the target reported that it is cold.
    [[nodiscard]] bool isCold(MonotonicTime now) const noexcept { return m_state == State::Cold && now < m_coldUntil; }

    /// \brief Whether the rate is limited.
    [[nodiscard]] bool isLimited(MonotonicTime now) const;

    /// \brief Whether a request may be sent now in addition to \c waiting ones that come first.
    [[nodiscard]] bool maySend(std::size_t waiting, MonotonicTime now) const;

    /// \brief Returns the time after which maySend() will hold if no other request is sent; 0 if it holds.
    [[nodiscard]] Microseconds timeToSend(std::size_t waiting, MonotonicTime now) const;

    /// \brief Returns the time after which isProbeDue() may hold; empty if a probe runs or none is needed.
    [[nodiscard]] std::optional<Microseconds> timeToProbe(MonotonicTime now) const;

    /// \brief Records that a request is sent to the target.
    void recordSent(MonotonicTime now);

    /// \brief Returns the report for the sender of a request. Each sender gets the next free time after those given to
    /// the senders before it.
    [[nodiscard]] ColdReport report(bool isRefused, MonotonicTime now);

private:
    enum class State { Warm, Suspected, Cold };

    [[nodiscard]] bool hasRate() const noexcept { return m_coldStart.rate.value() > 0; }
    [[nodiscard]] double bound() const;
    [[nodiscard]] double burst() const;
    [[nodiscard]] double fillRate() const;
    [[nodiscard]] double tokens(MonotonicTime now) const;
    [[nodiscard]] double sentSince(MonotonicTime start) const;
    [[nodiscard]] double unconfirmed(MonotonicTime now) const;
    [[nodiscard]] bool hasUsableProbes() const noexcept { return m_failedProbes < maxFailedProbes; }
    [[nodiscard]] bool needsProbe(MonotonicTime now) const;
    void setCold(Milliseconds remaining, MonotonicTime now);
    void setWarm(MonotonicTime now);

    static constexpr std::int64_t countedSlots = 21; // one more than a second, because the current one is incomplete
    static constexpr Microseconds slotTime{50'000};

    ColdBounds m_bounds;
    ColdStart m_coldStart;
    State m_state = State::Warm;
    MonotonicTime m_coldUntil;    ///< as last reported by the target
    MonotonicTime m_limitedUntil; ///< end of the limit if no report or response of the target arrives
    MonotonicTime m_signAt;       ///< latest sign that the target is or may be cold
    double m_tokens = 0;
    MonotonicTime m_tokensAt;
    std::array<std::uint32_t, countedSlots> m_sent{}; ///< requests sent in each slot of the last second
    std::int64_t m_latestSlot = 0;                    ///< number of the slot of the latest request
    MonotonicTime m_warmAt;                           ///< when the target was found warm after it was cold
    MonotonicTime m_confirmedAt;                      ///< start of the latest probe that found the target warm
    MonotonicTime m_probeStartedAt;
    MonotonicTime m_nextProbeAt;
    int m_failedProbes = 0; ///< probes that failed since the last usable response
    bool m_isProbing = false;
    bool m_isConfigured = false; ///< setColdStart() was called
    MonotonicTime m_nextTurn;    ///< next time that is given to a sender
};

} // namespace dandeliondock
