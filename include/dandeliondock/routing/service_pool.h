#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/membership/view_freshness.h>
#include <dandeliondock/routing/pool_target.h>
#include <dandeliondock/routing/routing_hooks.h>
#include <dandeliondock/routing/version_chooser.h>
#include <dandeliondock/routing/work_class_queue.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <vector>

namespace dandeliondock {

/// \brief Node that selects targets.
struct PoolCaller
{
    NodeId node;
    Locality locality;
    std::size_t callers = 1; ///< number of callers that share the targets
};

/// \brief Criteria for picking a target.
struct PickRequest
{
    VersionChoice version;
    WorkClass workClass = WorkClass::Interactive;
    ConnectionCount connectionsPerTarget{130};
    std::vector<TargetId> tried; ///< targets of earlier attempts; used again only if there are no others
};

/// \brief Whether a pick found a target.
enum class PickVerdict {
    Chosen, ///< a slot on the target is reserved
    Busy,   ///< every usable target is at its limit
    None,   ///< there is no usable target
};

/// \brief Result of a pick; with Chosen it holds a reserved slot on the target.
struct Pick
{
    PickVerdict verdict = PickVerdict::None;
    PoolTargetPtr target;
    bool isTrial = false; ///< the trial request that may end the target's ejection
};

/// \brief Result of probing a target.
enum class ProbeResult { AcceptsRequests, Draining, Unreachable };

/// \brief Targets of one service with the state that this caller keeps about them, and the choice among them.
///
/// \remark Not thread-safe; ServiceDispatcher guards each pool with a lock.
class ServicePool
{
public:
    ServicePool(PoolCaller caller, RandomSource random);

    /// \brief Applies an endpoint record; a target that is not serving is removed.
    /// \param defaultSlots slots of the target when its record does not name them.
    void apply(const Endpoint &record, SlotCount defaultSlots, MonotonicTime now);

    /// \brief Removes a target; has no effect on an unknown one.
    void remove(const TargetId &target);

    /// \brief Sets how many callers share the targets; a change of less than a tenth is ignored.
    void setCallers(std::size_t callers);

    /// \brief Chooses a target and reserves a slot on it; finish() or abandon() releases the slot.
    [[nodiscard]] Pick pick(const PickRequest &request, MonotonicTime now);

    /// \brief Releases a slot and records the outcome of the attempt.
    void finish(const Pick &claim, const AttemptOutcome &outcome, MonotonicTime now);

    /// \brief Releases the slot of an attempt that gave no evidence about the target.
    void abandon(const Pick &claim) noexcept;

    /// \brief Records the result of a probe of the picked target; the slot stays reserved.
    void recordProbe(const Pick &claim, ProbeResult result, MonotonicTime now);

    /// \brief Returns how fast requests currently finish, estimated from the mean latency and the requests in flight.
    [[nodiscard]] DrainEstimate drainEstimate() const noexcept;

    /// \brief Returns the number of targets.
    [[nodiscard]] std::size_t targets() const noexcept { return m_targets.size(); }

    /// \brief Returns the number of ejections since the pool was created.
    [[nodiscard]] std::uint64_t ejections() const noexcept { return m_ejections; }

    /// \brief Returns a number in [0, bound) from the pool's random source.
    [[nodiscard]] std::uint64_t draw(std::uint64_t bound) { return uniformBelow(m_random, bound); }

    /// \brief Returns the targets that pick() chooses from; for tests and the status page.
    [[nodiscard]] std::vector<PoolTargetPtr> candidates(const VersionChoice &version, ConnectionCount connections);

private:
    struct CandidateKey
    {
        VersionName version;
        Share share;

        bool operator==(const CandidateKey &) const = default;
    };

    struct Candidates
    {
        CandidateKey key;
        std::array<std::vector<PoolTargetPtr>, localityTierCount> tiers;
    };

    using TargetList = std::vector<PoolTargetPtr>;

    const Candidates &cachedCandidates(const VersionChoice &version, ConnectionCount connections);
    [[nodiscard]] Candidates buildCandidates(const CandidateKey &key, ConnectionCount connections) const;
    [[nodiscard]] TargetList activeTargets(const CandidateKey &key, bool ownRegion) const;
    void reduceToSubset(TargetList &targets, ConnectionCount connections) const;
    static void readmitExcessEjections(Candidates &candidates);
    [[nodiscard]] Pick pickAmong(const Candidates &candidates, const PickRequest &request, bool avoidTried,
                                 MonotonicTime now);
    [[nodiscard]] const PoolTargetPtr *chooseLessLoaded(const std::vector<const PoolTargetPtr *> &usable,
                                                        MonotonicTime now);
    [[nodiscard]] const PoolTargetPtr *drawByWeight(const std::vector<const PoolTargetPtr *> &usable,
                                                    MonotonicTime now);
    void recordFailure(const Pick &claim, bool isConnectionRefused, MonotonicTime now);
    void tryEject(PoolTarget &target, MonotonicTime now);
    void markDraining(PoolTarget &target);
    void applyResult(const Pick &claim, const AttemptOutcome &outcome, MonotonicTime now);

    PoolCaller m_caller;
    RandomSource m_random;
    absl::flat_hash_map<TargetId, PoolTargetPtr> m_targets;
    std::vector<Candidates> m_candidates;        ///< cache, cleared by changes and filled on demand
    std::vector<const PoolTargetPtr *> m_usable; ///< buffer of pickAmong(), kept to avoid allocations
    Microseconds m_meanLatency{0};
    std::uint32_t m_inFlight = 0;
    std::uint64_t m_ejections = 0;
};

} // namespace dandeliondock
