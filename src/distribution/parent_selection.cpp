#include <dandeliondock/distribution/parent_selection.h>

#include <algorithm>

namespace dandeliondock {

ParentSelection::ParentSelection(NodeId self, Address controlAddress, const RandomSource &random)
    : m_self(std::move(self)), m_address(std::move(controlAddress)), m_random(random), m_backoff(random)
{
}

ParentSelectionStep ParentSelection::next(const CandidateAddresses &known, MonotonicTime now)
{
    if (misplaced(known, now))
        detach();
    if (m_parent)
        return {ParentSelectionAction::Poll, m_tried = *m_parent, {}};
    if (!m_inRound)
        startRound(known);
    if (!m_round.empty()) {
        m_tried = m_round.front();
        m_round.pop_front();
        return {ParentSelectionAction::Poll, m_tried, {}};
    }
    if (!m_storeAsked) {
        m_storeAsked = true;
        return {ParentSelectionAction::ReadLeases, {}, {}};
    }
    m_inRound = false;
    const Milliseconds wait = std::max(m_backoff.next(), m_retryHint);
    m_retryHint = Milliseconds(0);
    return {ParentSelectionAction::Wait, {}, now + wait};
}

bool ParentSelection::misplaced(const CandidateAddresses &known, MonotonicTime now) const
{
    return m_parent && known.isLeaseHolder && !known.leaseHolders.empty() && m_parent->source != CandidateSource::Lease
           && now - m_attachedAt >= holderReattachInterval;
}

void ParentSelection::startRound(const CandidateAddresses &known)
{
    m_inRound = true;
    m_storeAsked = false;
    m_seen = {m_address};
    m_round.clear();
    addCandidates(known.leaseHolders, CandidateSource::Lease, known.leaseHolders.size());
    addCandidates(m_lastPath, CandidateSource::LastPath, m_lastPath.size());
    addCandidates(known.peers, CandidateSource::Peer, known.peers.size());
    addCandidates(known.directory, CandidateSource::Directory, maxDirectoryCandidates);
}

void ParentSelection::addCandidates(std::vector<Address> addresses, CandidateSource source, std::size_t limit)
{
    for (std::size_t i = source == CandidateSource::Lease ? 0 : addresses.size(); i > 1; --i)
        std::swap(addresses[i - 1], addresses[uniformBelow(m_random, i)]);
    std::size_t added = 0;
    for (const Address &address : addresses) {
        if (added == limit || m_seen.size() > maxCandidatesInRound)
            return;
        if (address.value().empty() || !m_seen.insert(address).second)
            continue;
        m_round.push_back({address, source});
        ++added;
    }
}

AttachOutcome ParentSelection::onResponse(const PollAnswer &answer, MonotonicTime now)
{
    if (answer.result != PollResult::Attached)
        return refuse(answer);
    if (std::find(answer.path.begin(), answer.path.end(), m_self) != answer.path.end()) {
        detach();
        return AttachOutcome::Loop;
    }
    if (answer.path.empty())
        return keepWithoutPath(now);
    if (!m_parent)
        m_attachedAt = now;
    m_parent = m_tried;
    m_path = answer.path;
    m_lastPath = {m_tried.address, answer.grandparent};
    m_pathlessSince.reset();
    m_backoff.reset();
    m_inRound = false;
    return AttachOutcome::Attached;
}

AttachOutcome ParentSelection::keepWithoutPath(MonotonicTime now)
{
    m_path.clear();
    if (!m_pathlessSince)
        m_pathlessSince = now;
    if (m_parent && now - *m_pathlessSince < pathLossTimeout)
        return AttachOutcome::Attached;
    detach();
    return AttachOutcome::PathLost;
}

AttachOutcome ParentSelection::refuse(const PollAnswer &answer)
{
    detach();
    m_retryHint = std::max(m_retryHint, answer.retryAfter);
    if (answer.result == PollResult::WrongDeployment)
        return AttachOutcome::WrongDeployment;
    if (!m_inRound || answer.redirects.empty())
        return AttachOutcome::Refused;
    const std::deque<ParentCandidate> others = std::exchange(m_round, {});
    addCandidates(answer.redirects, CandidateSource::Redirect, answer.redirects.size());
    m_round.insert(m_round.end(), others.begin(), others.end());
    return AttachOutcome::Redirected;
}

void ParentSelection::onFailure()
{
    detach();
}

void ParentSelection::detach()
{
    m_parent.reset();
    m_path.clear();
    m_pathlessSince.reset();
}

} // namespace dandeliondock
