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

/// \brief Source of a candidate's address, in the order in which candidates are tried.
enum class CandidateSource { Redirect, Lease, LastPath, Peer, Directory };

/// \brief A node that can become the parent.
struct ParentCandidate
{
    Address address;
    CandidateSource source = CandidateSource::Peer;

    bool operator==(const ParentCandidate &) const = default;
};

/// \brief Control addresses of possible parents, by source.
struct CandidateAddresses
{
    std::vector<Address> leaseHolders; ///< in the order in which to try them
    std::vector<Address> peers;
    std::vector<Address> directory;
    bool isLeaseHolder = false; ///< this node holds a lease, so its parent should be the holder of a higher one
};

enum class ParentSelectionAction { Poll, ReadLeases, Wait };

/// \brief Next step of the parent selection.
struct ParentSelectionStep
{
    ParentSelectionAction action = ParentSelectionAction::Wait;
    ParentCandidate candidate; ///< for Poll: the node to poll
    MonotonicTime until;       ///< for Wait: when to call next() again
};

/// \brief Result of a response from a candidate or the parent.
enum class AttachOutcome { Attached, Refused, Redirected, Loop, PathLost, WrongDeployment };

/// \brief Time for which a parent without a path to the root is kept.
inline constexpr Milliseconds pathLossTimeout{3'000};
/// \brief Time after which a lease holder whose parent is not a higher holder searches for a higher holder again.
inline constexpr Milliseconds holderReattachInterval{10'000};
inline constexpr std::size_t maxDirectoryCandidates = 8;
inline constexpr std::size_t maxCandidatesInRound = 64;

/// \brief Selects a parent and keeps it until it fails. Each round tries every candidate once, then reads the lease
/// rows from the store, then waits.
///
/// \remark Not thread-safe.
class ParentSelection
{
public:
    ParentSelection(NodeId self, Address controlAddress, const RandomSource &random);

    /// \brief Returns the next step. With a parent it is a poll of the parent, unless a lease holder must
    /// search for a higher holder again.
    [[nodiscard]] ParentSelectionStep next(const CandidateAddresses &candidates, MonotonicTime now);

    /// \brief Processes the response of the candidate that next() returned last.
    AttachOutcome onResponse(const PollAnswer &response, MonotonicTime now);

    /// \brief Records that the candidate that next() returned last did not respond.
    void onFailure();

    /// \brief Drops the parent, for example because this node became the root.
    void detach();

    /// \brief Returns the path from the root to the parent; empty while there is no path.
    [[nodiscard]] const std::vector<NodeId> &parentPath() const noexcept { return m_path; }

    [[nodiscard]] const std::optional<ParentCandidate> &parent() const noexcept { return m_parent; }

    [[nodiscard]] bool attached() const noexcept { return m_parent.has_value(); }

private:
    [[nodiscard]] bool shouldReattach(const CandidateAddresses &candidates, MonotonicTime now) const;
    void startRound(const CandidateAddresses &candidates);
    void addCandidates(std::vector<Address> addresses, CandidateSource source, std::size_t limit);
    AttachOutcome handleRejection(const PollAnswer &response);
    AttachOutcome handleMissingPath(MonotonicTime now);

    NodeId m_self;
    Address m_controlAddress;
    RandomSource m_random;
    Backoff m_backoff;
    std::optional<ParentCandidate> m_parent;
    ParentCandidate m_currentCandidate;
    std::vector<NodeId> m_path;
    std::vector<Address> m_lastPathAddresses;
    std::optional<MonotonicTime> m_noPathSince;
    MonotonicTime m_attachedAt;
    std::deque<ParentCandidate> m_remainingCandidates;
    std::set<Address> m_roundAddresses;
    Milliseconds m_retryAfter{0};
    bool m_roundActive = false;
    bool m_leaseReadRequested = false;
};

} // namespace dandeliondock
