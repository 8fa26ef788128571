#include "tree_model.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock::testing {

namespace {

constexpr Milliseconds tick{50};
constexpr Milliseconds pollInterval{500};
constexpr Milliseconds pollTimeout{2'000};
constexpr std::size_t logCapacity = 3;
constexpr std::size_t revisionsPerResponse = 2;
const RegionName storeRegion("region0");

Revision revisionOf(std::uint64_t number)
{
    Ticket ticket;
    ticket.number = TicketNumber(number);
    ticket.author = AuthorName("ada");
    Service service;
    service.name = ServiceName("ledger");
    service.version = VersionName(absl::StrCat("v", number));
    ticket.resources = {Version{service.name, service.version}, service};
    return {RevisionNumber(number), ticket, WallTime{}};
}

} // namespace

TreeModel::TreeModel(std::size_t nodes, std::uint64_t seed, std::size_t fanOut)
    : m_random(seededRandom(seed)), m_fanOut(fanOut), m_nodes(nodes)
{
    for (std::size_t i = 0; i < nodes; ++i) {
        m_nodes[i].index = i;
        start(m_nodes[i]);
    }
}

std::string TreeModel::region(NodeIndex index)
{
    return index % 2 == 0 ? "region0" : "region1";
}

Address TreeModel::address(NodeIndex index)
{
    return Address(absl::StrCat(index));
}

std::uint64_t TreeModel::randomBelow(std::uint64_t bound)
{
    return uniformBelow(m_random, bound);
}

bool TreeModel::occurs(std::uint64_t perMille)
{
    return randomBelow(1'000) < perMille;
}

void TreeModel::start(ModelNode &node)
{
    const NodeId id(absl::StrCat("n", node.index));
    const RandomSource random = seededRandom(m_random());
    const RegionName nodeRegion(region(node.index));
    node.alive = true;
    node.frozenUntil = MonotonicTime();
    node.highestRevision = RevisionNumber();
    node.config = std::make_unique<ConfigStore>();
    node.revisionLog = std::make_unique<RevisionLog>(logCapacity);
    node.childRegistry = std::make_unique<ChildRegistry>(DeploymentName("test"), id, nodeRegion, m_fanOut);
    node.parentSelection = std::make_unique<ParentSelection>(id, address(node.index), random);
    node.leaseSelection = std::make_unique<LeaseSelection>(leaseScopes(nodeRegion, DataCentreName("dc"), storeRegion),
                                                           id, address(node.index), random);
    node.nextPoll = m_now;
    node.nextHeadRead = m_now;
    node.pendingPoll = 0;
    node.heldLease = false;
    node.pendingWrite.reset();
    node.countedProcesses.clear();
}

void TreeModel::fileTicket()
{
    m_revisions.push_back(revisionOf(m_revisions.size() + 1));
}

void TreeModel::kill(NodeIndex index)
{
    m_nodes[index].alive = false;
}

void TreeModel::restart(NodeIndex index)
{
    ++m_nodes[index].incarnation;
    start(m_nodes[index]);
}

void TreeModel::restartDead()
{
    for (ModelNode &node : m_nodes) {
        if (!node.alive)
            restart(node.index);
    }
}

void TreeModel::freeze(NodeIndex index, Milliseconds duration)
{
    m_nodes[index].frozenUntil = m_now + duration;
}

bool TreeModel::active(const ModelNode &node) const
{
    return node.alive && m_now >= node.frozenUntil;
}

bool TreeModel::canReach(NodeIndex from, NodeIndex to) const
{
    return !faults.regionsPartitioned || region(from) == region(to);
}

bool TreeModel::canReachStore(const ModelNode &node) const
{
    return !faults.storeUnavailable && (!faults.regionsPartitioned || region(node.index) == storeRegion.value());
}

void TreeModel::advance(Milliseconds duration)
{
    const MonotonicTime end = m_now + duration;
    while (m_now < end) {
        m_now += tick;
        std::vector<ModelMessage> due;
        std::vector<ModelMessage> later;
        for (ModelMessage &message : m_messages)
            (message.due <= m_now ? due : later).push_back(std::move(message));
        m_messages = std::move(later);
        for (const ModelMessage &message : due)
            deliver(message);
        for (ModelNode &node : m_nodes) {
            if (active(node))
                step(node);
            checkNode(node);
        }
        checkLeases();
    }
}

void TreeModel::step(ModelNode &node)
{
    stepLease(node);
    const bool holdsLease = node.leaseSelection->held(m_now).has_value();
    if (holdsLease && !node.heldLease)
        node.parentSelection->detach();
    node.heldLease = holdsLease;
    if (node.leaseSelection->holdsRoot(m_now))
        stepRoot(node);
    else
        stepSelection(node);
    node.childRegistry->setPath(pathFromRoot(NodeId(absl::StrCat("n", node.index)), node.parentSelection->parentPath(),
                                             holdsLease || node.leaseSelection->heldAtLastContact()));
    for (const LostChild &child : node.childRegistry->expire(m_now))
        node.countedProcesses.erase(child.node);
}

void TreeModel::stepLease(ModelNode &node)
{
    if (node.pendingWrite) {
        node.leaseSelection->onWrite(node.pendingWrite->scope, node.writeResult, node.writeStarted, m_now);
        node.pendingWrite.reset();
        return;
    }
    std::optional<Address> parent;
    if (node.parentSelection->attached())
        parent = node.parentSelection->parent()->address;
    const bool readsLeases = node.leaseSelection->shouldReadLeases(parent, m_now);
    const LeaseSelectionStep step = node.leaseSelection->next(
            m_now, WallTime(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch())), readsLeases);
    if (step.action == LeaseSelectionAction::ReadAll)
        readLeases(node);
    if (step.action == LeaseSelectionAction::Write)
        writeLease(node, step);
}

void TreeModel::readLeases(ModelNode &node)
{
    if (!canReachStore(node)) {
        node.leaseSelection->onReadFailed(m_now);
        return;
    }
    ++m_storeReads;
    std::vector<VersionedLease> rows;
    for (const LeaseScope &scope : node.leaseSelection->scopes())
        rows.push_back(m_rows[scope.key]);
    node.leaseSelection->onRead(rows, m_now);
}

void TreeModel::writeLease(ModelNode &node, const LeaseSelectionStep &step)
{
    node.pendingWrite = step;
    node.writeStarted = m_now;
    node.writeResult = LeaseWriteResult::Unavailable;
    if (canReachStore(node)) {
        VersionedLease &row = m_rows[node.leaseSelection->scopes()[step.scope].key];
        const bool conditionHolds = row.version == step.write.version;
        if (conditionHolds)
            row = {step.write.record, RowVersion(++m_rowVersion)};
        node.writeResult = conditionHolds ? LeaseWriteResult::Committed : LeaseWriteResult::Refused;
        if (faults.uncertainWrites && occurs(200))
            node.writeResult = LeaseWriteResult::Unknown;
    }
    if (faults.uncertainWrites && occurs(100))
        freeze(node.index, Milliseconds(randomBelow(9'000)));
}

void TreeModel::stepRoot(ModelNode &node)
{
    node.parentSelection->detach();
    if (m_now < node.nextHeadRead || !canReachStore(node))
        return;
    node.nextHeadRead = m_now + headReadInterval;
    for (const Revision &revision : m_revisions) {
        if (revision.number.value() == node.config->current()->revision().value() + 1
            && node.config->apply(revision).ok())
            node.revisionLog->add(revision);
    }
}

void TreeModel::stepSelection(ModelNode &node)
{
    if (node.pendingPoll != 0 && m_now >= node.pollDeadline) {
        node.pendingPoll = 0;
        node.parentSelection->onFailure();
    }
    if (node.pendingPoll != 0 || m_now < node.nextPoll)
        return;
    CandidateAddresses candidates;
    candidates.leaseHolders = node.leaseSelection->higherHolders(m_now);
    candidates.isLeaseHolder = node.heldLease;
    candidates.peers = {address((node.index + 2) % m_nodes.size()), address((node.index + 4) % m_nodes.size())};
    const ParentSelectionStep step = node.parentSelection->next(candidates, m_now);
    if (step.action == ParentSelectionAction::Poll)
        sendPoll(node, step.candidate.address);
    else if (step.action == ParentSelectionAction::ReadLeases)
        readLeases(node);
    else
        node.nextPoll = step.until;
}

std::set<Process> TreeModel::processesOfSubtree(const ModelNode &node) const
{
    std::set<Process> processes{{node.index, node.incarnation}};
    for (const NodeId &child : node.childRegistry->children()) {
        const auto found = node.countedProcesses.find(child);
        if (found != node.countedProcesses.end())
            processes.insert(found->second.begin(), found->second.end());
    }
    return processes;
}

void TreeModel::sendPoll(ModelNode &node, const Address &to)
{
    PollRequest request;
    request.deployment = DeploymentName("test");
    request.node = NodeId(absl::StrCat("n", node.index));
    request.incarnation = Incarnation(node.incarnation);
    request.region = RegionName(region(node.index));
    request.controlAddress = address(node.index);
    request.revision = node.config->current()->revision();
    request.acknowledgement = node.childRegistry->acknowledgement(request.revision);
    const std::set<Process> countedProcesses = processesOfSubtree(node);
    checkAcknowledgement(request.acknowledgement, countedProcesses);
    std::uint64_t recipient = 0;
    if (!absl::SimpleAtoi(to.value(), &recipient))
        return;
    node.pendingPoll = ++m_polls;
    node.pollDeadline = m_now + pollTimeout;
    send({m_now + tick, node.index, recipient, m_polls, request, std::nullopt, countedProcesses});
}

void TreeModel::send(ModelMessage message)
{
    if (!faults.unreliableMessages) {
        m_messages.push_back(std::move(message));
        return;
    }
    if (occurs(150))
        return;
    if (occurs(150)) {
        ModelMessage duplicate = message;
        duplicate.due += Milliseconds(randomBelow(1'500));
        m_messages.push_back(std::move(duplicate));
    }
    message.due += Milliseconds(randomBelow(600));
    m_messages.push_back(std::move(message));
}

void TreeModel::deliver(const ModelMessage &message)
{
    ModelNode &node = m_nodes[message.to];
    if (!canReach(message.from, message.to) || !node.alive)
        return;
    if (!active(node)) {
        // The kernel buffers data that arrives for a stopped process until it runs again.
        ModelMessage delayed = message;
        delayed.due = node.frozenUntil;
        m_messages.push_back(std::move(delayed));
        return;
    }
    if (message.request)
        handleRequest(node, message);
    else
        handleResponse(node, message);
}

void TreeModel::handleRequest(ModelNode &node, const ModelMessage &message)
{
    const PollRequest &request = *message.request;
    const PollDecision decision = node.childRegistry->onPoll(request, m_now);
    PollAnswer response;
    response.result = decision.result;
    response.redirects = decision.redirects;
    if (decision.result == PollResult::Attached) {
        node.countedProcesses[request.node] = message.countedProcesses;
        response.path = node.childRegistry->path();
        response.revision = node.config->current()->revision();
        const RevisionDelta delta = node.revisionLog->after(request.revision, revisionsPerResponse);
        response.revisions = delta.revisions;
        response.snapshotNeeded = delta.snapshotNeeded;
    }
    send({m_now + tick, node.index, message.from, message.poll, std::nullopt, response, {}});
}

void TreeModel::handleResponse(ModelNode &node, const ModelMessage &message)
{
    const PollAnswer &response = *message.response;
    for (const Revision &revision : response.revisions) {
        if (node.config->apply(revision).ok() && revision.number == node.config->current()->revision())
            node.revisionLog->add(revision);
    }
    if (response.snapshotNeeded && m_nodes[message.from].alive) {
        const ConfigStatePtr state = m_nodes[message.from].config->current();
        node.config->applySnapshot(*state);
        node.revisionLog->resetTo(state->revision());
    }
    if (message.poll != node.pendingPoll)
        return;
    node.pendingPoll = 0;
    node.parentSelection->onResponse(response, m_now);
    node.nextPoll = node.parentSelection->attached() ? m_now + pollInterval : m_now;
}

void TreeModel::checkNode(ModelNode &node)
{
    if (!node.alive)
        return;
    const RevisionNumber revision = node.config->current()->revision();
    if (revision < node.highestRevision)
        m_violations.push_back(absl::StrCat("node ", node.index, " returned to revision ", revision.value()));
    node.highestRevision = revision;
    if (node.childRegistry->children().size() > m_fanOut)
        m_violations.push_back(absl::StrCat("node ", node.index, " has more children than the fan-out"));
}

void TreeModel::checkLeases()
{
    std::map<RowKey, NodeIndex> holders;
    for (const ModelNode &node : m_nodes) {
        const std::optional<std::size_t> held = node.leaseSelection->held(m_now);
        if (!node.alive || !held)
            continue;
        const RowKey &key = node.leaseSelection->scopes()[*held].key;
        if (!holders.emplace(key, node.index).second)
            m_violations.push_back(absl::StrCat(key.value(), " has two holders"));
    }
}

void TreeModel::checkAcknowledgement(const AcknowledgementSum &sum, const std::set<Process> &countedProcesses)
{
    for (const auto &[index, incarnation] : countedProcesses) {
        const ModelNode &node = m_nodes[index];
        if (node.incarnation == incarnation && node.config->current()->revision() < sum.lowest)
            m_violations.push_back(absl::StrCat("revision ", sum.lowest.value(), " is acknowledged for node ", index,
                                                ", which does not hold it"));
    }
    if (countedProcesses.size() > sum.nodes.value())
        m_violations.emplace_back("an acknowledgement sum counts too few nodes");
}

bool TreeModel::converged() const
{
    std::size_t roots = 0;
    for (const ModelNode &node : m_nodes) {
        if (!node.alive || node.config->current()->revision().value() != m_revisions.size())
            return false;
        NodeIndex ancestor = node.index;
        std::size_t hopCount = 0;
        while (m_nodes[ancestor].parentSelection->attached() && hopCount <= m_nodes.size()) {
            std::uint64_t next = 0;
            if (!absl::SimpleAtoi(m_nodes[ancestor].parentSelection->parent()->address.value(), &next))
                return false;
            ancestor = next;
            ++hopCount;
        }
        if (!m_nodes[ancestor].leaseSelection->holdsRoot(m_now))
            return false;
        roots += ancestor == node.index ? 1 : 0;
    }
    return roots == 1;
}

std::string TreeModel::describe() const
{
    std::string text = absl::StrCat("head ", m_revisions.size());
    for (const ModelNode &node : m_nodes) {
        const std::optional<std::size_t> held = node.leaseSelection->held(m_now);
        absl::StrAppend(&text, "; n", node.index, " r", node.config->current()->revision().value(), " parent ",
                        node.parentSelection->attached() ? node.parentSelection->parent()->address.value() : "-",
                        " path ", node.childRegistry->path().size(), held ? " holds " : "",
                        held ? node.leaseSelection->scopes()[*held].key.value() : "");
    }
    return text;
}

} // namespace dandeliondock::testing
