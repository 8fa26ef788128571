#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/distribution/backoff.h>
#include <dandeliondock/distribution/poll.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace dandeliondock {

/// \brief Where the address of a candidate comes from, in the order in which candidates are tried.
enum class CandidateSource { Redirect, Lease, LastPath, Peer, Directory };

struct ParentCandidate
{
    Address address;
    CandidateSource source = CandidateSource::Peer;

    bool operator==(const ParentCandidate &) const = default;
};

/// \brief Addresses that this node knows, by source.
struct CandidateAddresses
{
    std::vector<Address> leaseHolders; ///< in the order in which to try them
    std::vector<Address> peers;
    std::vector<Address> directory;
    bool isLeaseHolder = false; ///< this node holds a lease itself and belongs under a higher holder
};

enum class ParentSelectionAction { Poll, ReadLeases, Wait };

/// \brief What to do next about the parent.
struct ParentSelectionStep
{
    ParentSelectionAction action = ParentSelectionAction::Wait;
    ParentCandidate candidate; ///< of Poll
    MonotonicTime until;       ///< of Wait
};

enum class AttachOutcome { Attached, Refused, Redirected, Loop, PathLost, WrongDeployment };

inline constexpr Milliseconds pathLossTimeout{3'000};
/// \brief A lease holder under a parent that is not a higher holder looks for one again after this time.
inline constexpr Milliseconds holderReattachInterval{10'000};
inline constexpr std::size_t maxDirectoryCandidates = 8;
inline constexpr std::size_t maxCandidatesInRound = 64;

/// \brief Finds and keeps a parent. Each round tries every candidate once, then the store, then waits.
///
/// \remark One thread at a time.
class ParentSelection
{
public:
    ParentSelection(NodeId self, Address controlAddress, const RandomSource &random);

    [[nodiscard]] ParentSelectionStep next(const CandidateAddresses &known, MonotonicTime now);

    /// \brief Takes the answer of the candidate that next() named last.
    AttachOutcome onResponse(const PollAnswer &answer, MonotonicTime now);

    /// \brief The candidate that next() named last did not answer.
    void onFailure();

    /// \brief Leaves the parent, for example because this node became the root.
    void detach();

    /// \brief Path from the root to the parent; empty while there is none.
    [[nodiscard]] const std::vector<NodeId> &parentPath() const noexcept { return m_path; }

    [[nodiscard]] const std::optional<ParentCandidate> &parent() const noexcept { return m_parent; }

    [[nodiscard]] bool attached() const noexcept { return m_parent.has_value(); }

private:
    [[nodiscard]] bool misplaced(const CandidateAddresses &known, MonotonicTime now) const;
    void startRound(const CandidateAddresses &known);
    void addCandidates(std::vector<Address> addresses, CandidateSource source, std::size_t limit);
    AttachOutcome refuse(const PollAnswer &answer);
    AttachOutcome keepWithoutPath(MonotonicTime now);

    NodeId m_self;
    Address m_address;
    RandomSource m_random;
    Backoff m_backoff;
    std::optional<ParentCandidate> m_parent;
    ParentCandidate m_tried;
    std::vector<NodeId> m_path;
    std::vector<Address> m_lastPath;
    std::optional<MonotonicTime> m_pathlessSince;
    MonotonicTime m_attachedAt;
    std::deque<ParentCandidate> m_round;
    std::set<Address> m_seen;
    Milliseconds m_retryHint{0};
    bool m_inRound = false;
    bool m_storeAsked = false;
};

} // namespace dandeliondock
