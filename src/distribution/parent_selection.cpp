#include <dandeliondock/distribution/parent_selection.h>

#include <algorithm>

namespace dandeliondock {

ParentSelection::ParentSelection(NodeId self, Address controlAddress, const RandomSource &random)
    : m_self(std::move(self)), m_controlAddress(std::move(controlAddress)), m_random(random), m_backoff(random)
{
}

ParentSelectionStep ParentSelection::next(const CandidateAddresses &candidates, MonotonicTime now)
{
    if (shouldReattach(candidates, now))
        detach();
    if (m_parent)
        return {ParentSelectionAction::Poll, m_currentCandidate = *m_parent, {}};
    if (!m_roundActive)
        startRound(candidates);
    if (!m_remainingCandidates.empty()) {
        m_currentCandidate = m_remainingCandidates.front();
        m_remainingCandidates.pop_front();
        return {ParentSelectionAction::Poll, m_currentCandidate, {}};
    }
    if (!m_leaseReadRequested) {
        m_leaseReadRequested = true;
        return {ParentSelectionAction::ReadLeases, {}, {}};
    }
    m_roundActive = false;
    const Milliseconds wait = std::max(m_backoff.next(), m_retryAfter);
    m_retryAfter = Milliseconds(0);
    return {ParentSelectionAction::Wait, {}, now + wait};
}

bool ParentSelection::shouldReattach(const CandidateAddresses &candidates, MonotonicTime now) const
{
    return m_parent && candidates.isLeaseHolder && !candidates.leaseHolders.empty()
           && m_parent->source != CandidateSource::Lease && now - m_attachedAt >= holderReattachInterval;
}

void ParentSelection::startRound(const CandidateAddresses &candidates)
{
    m_roundActive = true;
    m_leaseReadRequested = false;
    m_roundAddresses = {m_controlAddress};
    m_remainingCandidates.clear();
    addCandidates(candidates.leaseHolders, CandidateSource::Lease, candidates.leaseHolders.size());
    addCandidates(m_lastPathAddresses, CandidateSource::LastPath, m_lastPathAddresses.size());
    addCandidates(candidates.peers, CandidateSource::Peer, candidates.peers.size());
    addCandidates(candidates.directory, CandidateSource::Directory, maxDirectoryCandidates);
}

void ParentSelection::addCandidates(std::vector<Address> addresses, CandidateSource source, std::size_t limit)
{
    for (std::size_t i = source == CandidateSource::Lease ? 0 : addresses.size(); i > 1; --i)
        std::swap(addresses[i - 1], addresses[uniformBelow(m_random, i)]);
    std::size_t added = 0;
    for (const Address &address : addresses) {
        if (added == limit || m_roundAddresses.size() > maxCandidatesInRound)
            return;
        if (address.value().empty() || !m_roundAddresses.insert(address).second)
            continue;
        m_remainingCandidates.push_back({address, source});
        ++added;
    }
}

AttachOutcome ParentSelection::onResponse(const PollAnswer &response, MonotonicTime now)
{
    if (response.result != PollResult::Attached)
        return handleRejection(response);
    if (std::find(response.path.begin(), response.path.end(), m_self) != response.path.end()) {
        detach();
        return AttachOutcome::Loop;
    }
    if (response.path.empty())
        return handleMissingPath(now);
    if (!m_parent)
        m_attachedAt = now;
    m_parent = m_currentCandidate;
    m_path = response.path;
    m_lastPathAddresses = {m_currentCandidate.address, response.grandparent};
    m_noPathSince.reset();
    m_backoff.reset();
    m_roundActive = false;
    return AttachOutcome::Attached;
}

AttachOutcome ParentSelection::handleMissingPath(MonotonicTime now)
{
    m_path.clear();
    if (!m_noPathSince)
        m_noPathSince = now;
    if (m_parent && now - *m_noPathSince < pathLossTimeout)
        return AttachOutcome::Attached;
    detach();
    return AttachOutcome::PathLost;
}

AttachOutcome ParentSelection::handleRejection(const PollAnswer &response)
{
    detach();
    m_retryAfter = std::max(m_retryAfter, response.retryAfter);
    if (response.result == PollResult::WrongDeployment)
        return AttachOutcome::WrongDeployment;
    if (!m_roundActive || response.redirects.empty())
        return AttachOutcome::Refused;
    const std::deque<ParentCandidate> remaining = std::exchange(m_remainingCandidates, {});
    addCandidates(response.redirects, CandidateSource::Redirect, response.redirects.size());
    m_remainingCandidates.insert(m_remainingCandidates.end(), remaining.begin(), remaining.end());
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
    m_noPathSince.reset();
}

} // namespace dandeliondock
