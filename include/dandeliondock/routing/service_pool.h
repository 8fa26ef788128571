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

/// \brief Who selects, and how many others do.
struct PoolCaller
{
    NodeId node;
    Locality locality;
    std::size_t callers = 1; ///< that share the targets
};

/// \brief What a pick depends on.
struct PickRequest
{
    VersionChoice version;
    WorkClass workClass = WorkClass::Interactive;
    ConnectionCount connectionsPerTarget{130};
    std::vector<TargetId> tried;
};

enum class PickVerdict {
    Chosen, ///< the target's claim is taken
    Busy,   ///< every target that could be used is at its limit
    None,   ///< there is no target to use
};

/// \brief Result of a pick; with Chosen it is a claim on the target.
struct Pick
{
    PickVerdict verdict = PickVerdict::None;
    PoolTargetPtr target;
    bool isTrial = false; ///< the one request that may end an ejection
};

/// \brief What a probe of a target showed.
enum class ProbeResult { TakesWork, Draining, Unreachable };

/// \brief The targets of one service as one caller sees them.
///
/// \remark Not thread-safe: the Router holds one lock for each pool.
class ServicePool
{
public:
    ServicePool(PoolCaller caller, RandomSource random);

    /// \brief Takes over a record; a state other than serving takes the target out.
    void apply(const Endpoint &record, SlotCount defaultSlots, MonotonicTime now);

    void remove(const TargetId &target);

    /// \brief Sets how many callers share the targets; a change under a tenth is ignored.
    void setCallers(std::size_t callers);

    /// \brief Chooses a target and takes a claim on it, which ends with finish() or abandon().
    [[nodiscard]] Pick pick(const PickRequest &request, MonotonicTime now);

    /// \brief Ends a claim with what became of the attempt.
    void finish(const Pick &claim, const AttemptOutcome &outcome, MonotonicTime now);

    /// \brief Ends a claim of an attempt that showed nothing.
    void abandon(const Pick &claim) noexcept;

    /// \brief Takes in a probe; the claim stays.
    void probed(const Pick &claim, ProbeResult result, MonotonicTime now);

    /// \brief How fast requests leave at present.
    [[nodiscard]] DrainEstimate pace() const noexcept;

    [[nodiscard]] std::size_t targets() const noexcept { return m_targets.size(); }

    [[nodiscard]] std::uint64_t ejections() const noexcept { return m_ejections; }

    /// \brief A number in [0, bound) from the pool's random source.
    [[nodiscard]] std::uint64_t draw(std::uint64_t bound) { return uniformBelow(m_random, bound); }

    /// \brief The targets that pick() chooses from; for tests and the status page.
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
        std::array<std::vector<PoolTargetPtr>, localityTiers> tiers;
    };

    using TargetList = std::vector<PoolTargetPtr>;

    const Candidates &candidatesOf(const VersionChoice &version, ConnectionCount connections);
    [[nodiscard]] Candidates build(const CandidateKey &key, ConnectionCount connections) const;
    [[nodiscard]] TargetList activeTargets(const CandidateKey &key, bool ownRegion) const;
    void keepSubset(TargetList &targets, ConnectionCount connections) const;
    static void readmitSurplus(Candidates &candidates);
    [[nodiscard]] Pick pickAmong(const Candidates &candidates, const PickRequest &request, bool avoidTried,
                                 MonotonicTime now);
    [[nodiscard]] const PoolTargetPtr *chooseOfTwo(const std::vector<const PoolTargetPtr *> &usable, MonotonicTime now);
    [[nodiscard]] const PoolTargetPtr *drawByWeight(const std::vector<const PoolTargetPtr *> &usable,
                                                    MonotonicTime now);
    void failed(const Pick &claim, bool isRefusal, MonotonicTime now);
    void tryEject(PoolTarget &target, MonotonicTime now);
    void markDraining(PoolTarget &target);
    void judge(const Pick &claim, const AttemptOutcome &outcome, MonotonicTime now);

    PoolCaller m_caller;
    RandomSource m_random;
    absl::flat_hash_map<TargetId, PoolTargetPtr> m_targets;
    std::vector<Candidates> m_candidates; ///< built at first use after a change
    std::vector<const PoolTargetPtr *> m_usable;
    Microseconds m_meanLatency{0};
    std::uint32_t m_inFlight = 0;
    std::uint64_t m_ejections = 0;
};

} // namespace dandeliondock
