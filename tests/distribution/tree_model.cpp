#include "tree_model.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock::testing {

namespace {

constexpr Milliseconds tick{50};
constexpr Milliseconds pollInterval{500};
constexpr Milliseconds pollLimit{2'000};
constexpr std::size_t logCapacity = 3;
constexpr std::size_t revisionsInAnswer = 2;
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

std::uint64_t TreeModel::below(std::uint64_t bound)
{
    return uniformBelow(m_random, bound);
}

bool TreeModel::chance(std::uint64_t inThousand)
{
    return below(1'000) < inThousand;
}

void TreeModel::start(ModelNode &node)
{
    const NodeId id(absl::StrCat("n", node.index));
    const RandomSource random = seededRandom(m_random());
    const RegionName home(region(node.index));
    node.alive = true;
    node.frozenUntil = MonotonicTime();
    node.highest = RevisionNumber();
    node.config = std::make_unique<ConfigStore>();
    node.log = std::make_unique<RevisionLog>(logCapacity);
    node.relay = std::make_unique<ChildRegistry>(DeploymentName("test"), id, home, m_fanOut);
    node.selection = std::make_unique<ParentSelection>(id, address(node.index), random);
    node.duty = std::make_unique<LeaseSelection>(leaseScopes(home, DataCentreName("dc"), storeRegion), id,
                                                 address(node.index), random);
    node.nextPoll = m_now;
    node.nextHead = m_now;
    node.outstanding = 0;
    node.heldLease = false;
    node.unansweredWrite.reset();
    node.covered.clear();
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
    ++m_nodes[index].life;
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

bool TreeModel::reaches(NodeIndex from, NodeIndex to) const
{
    return !faults.regionsCut || region(from) == region(to);
}

bool TreeModel::reachesStore(const ModelNode &node) const
{
    return !faults.storeAway && (!faults.regionsCut || region(node.index) == storeRegion.value());
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
    const bool holds = node.duty->held(m_now).has_value();
    if (holds && !node.heldLease)
        node.selection->detach();
    node.heldLease = holds;
    if (node.duty->holdsRoot(m_now))
        stepRoot(node);
    else
        stepSelection(node);
    node.relay->setPath(pathFromRoot(NodeId(absl::StrCat("n", node.index)), node.selection->parentPath(),
                                     holds || node.duty->heldAtLastContact()));
    for (const LostChild &child : node.relay->expire(m_now))
        node.covered.erase(child.node);
}

void TreeModel::stepLease(ModelNode &node)
{
    if (node.unansweredWrite) {
        node.duty->onWrite(node.unansweredWrite->scope, node.writeResult, node.writeStarted, m_now);
        node.unansweredWrite.reset();
        return;
    }
    std::optional<Address> parent;
    if (node.selection->attached())
        parent = node.selection->parent()->address;
    const bool candidate = node.duty->shouldReadLeases(parent, m_now);
    const LeaseSelectionStep step = node.duty->next(
            m_now, WallTime(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch())), candidate);
    if (step.action == LeaseSelectionAction::ReadAll)
        readLeases(node);
    if (step.action == LeaseSelectionAction::Write)
        writeLease(node, step);
}

void TreeModel::readLeases(ModelNode &node)
{
    if (!reachesStore(node)) {
        node.duty->onReadFailed(m_now);
        return;
    }
    ++m_storeReads;
    std::vector<VersionedLease> rows;
    for (const LeaseScope &scope : node.duty->scopes())
        rows.push_back(m_rows[scope.key]);
    node.duty->onRead(rows, m_now);
}

void TreeModel::writeLease(ModelNode &node, const LeaseSelectionStep &step)
{
    node.unansweredWrite = step;
    node.writeStarted = m_now;
    node.writeResult = LeaseWriteResult::Unavailable;
    if (reachesStore(node)) {
        VersionedLease &row = m_rows[node.duty->scopes()[step.scope].key];
        const bool holds = row.version == step.write.version;
        if (holds)
            row = {step.write.record, RowVersion(++m_rowVersion)};
        node.writeResult = holds ? LeaseWriteResult::Committed : LeaseWriteResult::Refused;
        if (faults.writesUncertain && chance(200))
            node.writeResult = LeaseWriteResult::Unknown;
    }
    if (faults.writesUncertain && chance(100))
        freeze(node.index, Milliseconds(below(9'000)));
}

void TreeModel::stepRoot(ModelNode &node)
{
    node.selection->detach();
    if (m_now < node.nextHead || !reachesStore(node))
        return;
    node.nextHead = m_now + headReadInterval;
    for (const Revision &revision : m_revisions) {
        if (revision.number.value() == node.config->current()->revision().value() + 1
            && node.config->apply(revision).ok())
            node.log->add(revision);
    }
}

void TreeModel::stepSelection(ModelNode &node)
{
    if (node.outstanding != 0 && m_now >= node.pollDeadline) {
        node.outstanding = 0;
        node.selection->onFailure();
    }
    if (node.outstanding != 0 || m_now < node.nextPoll)
        return;
    CandidateAddresses known;
    known.leaseHolders = node.duty->higherHolders(m_now);
    known.isLeaseHolder = node.heldLease;
    known.peers = {address((node.index + 2) % m_nodes.size()), address((node.index + 4) % m_nodes.size())};
    const ParentSelectionStep step = node.selection->next(known, m_now);
    if (step.action == ParentSelectionAction::Poll)
        sendPoll(node, step.candidate.address);
    else if (step.action == ParentSelectionAction::ReadLeases)
        readLeases(node);
    else
        node.nextPoll = step.until;
}

std::set<Life> TreeModel::coverOf(const ModelNode &node) const
{
    std::set<Life> all{{node.index, node.life}};
    for (const NodeId &child : node.relay->children()) {
        const auto found = node.covered.find(child);
        if (found != node.covered.end())
            all.insert(found->second.begin(), found->second.end());
    }
    return all;
}

void TreeModel::sendPoll(ModelNode &node, const Address &to)
{
    PollRequest request;
    request.deployment = DeploymentName("test");
    request.node = NodeId(absl::StrCat("n", node.index));
    request.incarnation = Incarnation(node.life);
    request.region = RegionName(region(node.index));
    request.controlAddress = address(node.index);
    request.revision = node.config->current()->revision();
    request.acknowledgement = node.relay->acknowledgement(request.revision);
    const std::set<Life> covered = coverOf(node);
    checkCover(request.acknowledgement, covered);
    std::uint64_t target = 0;
    if (!absl::SimpleAtoi(to.value(), &target))
        return;
    node.outstanding = ++m_polls;
    node.pollDeadline = m_now + pollLimit;
    post({m_now + tick, node.index, target, m_polls, request, std::nullopt, covered});
}

void TreeModel::post(ModelMessage message)
{
    if (!faults.messages) {
        m_messages.push_back(std::move(message));
        return;
    }
    if (chance(150))
        return;
    if (chance(150)) {
        ModelMessage repeated = message;
        repeated.due += Milliseconds(below(1'500));
        m_messages.push_back(std::move(repeated));
    }
    message.due += Milliseconds(below(600));
    m_messages.push_back(std::move(message));
}

void TreeModel::deliver(const ModelMessage &message)
{
    ModelNode &node = m_nodes[message.to];
    if (!reaches(message.from, message.to) || !node.alive)
        return;
    if (!active(node)) {
        // The kernel keeps what arrives for a stopped process until it runs again.
        ModelMessage kept = message;
        kept.due = node.frozenUntil;
        m_messages.push_back(std::move(kept));
        return;
    }
    if (message.request)
        onRequest(node, message);
    else
        onAnswer(node, message);
}

void TreeModel::onRequest(ModelNode &node, const ModelMessage &message)
{
    const PollRequest &request = *message.request;
    const PollDecision decision = node.relay->onPoll(request, m_now);
    PollAnswer answer;
    answer.result = decision.result;
    answer.redirects = decision.redirects;
    if (decision.result == PollResult::Attached) {
        node.covered[request.node] = message.covered;
        answer.path = node.relay->path();
        answer.revision = node.config->current()->revision();
        const RevisionDelta delta = node.log->after(request.revision, revisionsInAnswer);
        answer.revisions = delta.revisions;
        answer.snapshotNeeded = delta.snapshotNeeded;
    }
    post({m_now + tick, node.index, message.from, message.poll, std::nullopt, answer, {}});
}

void TreeModel::onAnswer(ModelNode &node, const ModelMessage &message)
{
    const PollAnswer &answer = *message.answer;
    for (const Revision &revision : answer.revisions) {
        if (node.config->apply(revision).ok() && revision.number == node.config->current()->revision())
            node.log->add(revision);
    }
    if (answer.snapshotNeeded && m_nodes[message.from].alive) {
        const ConfigStatePtr state = m_nodes[message.from].config->current();
        node.config->applySnapshot(*state);
        node.log->resetTo(state->revision());
    }
    if (message.poll != node.outstanding)
        return;
    node.outstanding = 0;
    node.selection->onResponse(answer, m_now);
    node.nextPoll = node.selection->attached() ? m_now + pollInterval : m_now;
}

void TreeModel::checkNode(ModelNode &node)
{
    if (!node.alive)
        return;
    const RevisionNumber revision = node.config->current()->revision();
    if (revision < node.highest)
        m_violations.push_back(absl::StrCat("node ", node.index, " went back to revision ", revision.value()));
    node.highest = revision;
    if (node.relay->children().size() > m_fanOut)
        m_violations.push_back(absl::StrCat("node ", node.index, " has more children than the fan-out"));
}

void TreeModel::checkLeases()
{
    std::map<RowKey, NodeIndex> holders;
    for (const ModelNode &node : m_nodes) {
        const std::optional<std::size_t> held = node.duty->held(m_now);
        if (!node.alive || !held)
            continue;
        const RowKey &key = node.duty->scopes()[*held].key;
        if (!holders.emplace(key, node.index).second)
            m_violations.push_back(absl::StrCat(key.value(), " has two holders"));
    }
}

void TreeModel::checkCover(const AcknowledgementSum &sum, const std::set<Life> &covered)
{
    for (const auto &[index, life] : covered) {
        const ModelNode &node = m_nodes[index];
        if (node.life == life && node.config->current()->revision() < sum.lowest)
            m_violations.push_back(absl::StrCat("revision ", sum.lowest.value(), " is acknowledged for node ", index,
                                                ", which lacks it"));
    }
    if (covered.size() > sum.nodes.value())
        m_violations.emplace_back("an acknowledgement sum counts too few nodes");
}

bool TreeModel::converged() const
{
    std::size_t roots = 0;
    for (const ModelNode &node : m_nodes) {
        if (!node.alive || node.config->current()->revision().value() != m_revisions.size())
            return false;
        NodeIndex at = node.index;
        std::size_t hops = 0;
        while (m_nodes[at].selection->attached() && hops <= m_nodes.size()) {
            std::uint64_t next = 0;
            if (!absl::SimpleAtoi(m_nodes[at].selection->parent()->address.value(), &next))
                return false;
            at = next;
            ++hops;
        }
        if (!m_nodes[at].duty->holdsRoot(m_now))
            return false;
        roots += at == node.index ? 1 : 0;
    }
    return roots == 1;
}

std::string TreeModel::describe() const
{
    std::string text = absl::StrCat("head ", m_revisions.size());
    for (const ModelNode &node : m_nodes) {
        const std::optional<std::size_t> held = node.duty->held(m_now);
        absl::StrAppend(&text, "; n", node.index, " r", node.config->current()->revision().value(), " parent ",
                        node.selection->attached() ? node.selection->parent()->address.value() : "-", " path ",
                        node.relay->path().size(), held ? " holds " : "",
                        held ? node.duty->scopes()[*held].key.value() : "");
    }
    return text;
}

} // namespace dandeliondock::testing
