#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/distribution/child_registry.h>
#include <dandeliondock/distribution/lease_selection.h>
#include <dandeliondock/distribution/parent_selection.h>
#include <dandeliondock/distribution/revision_log.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandeliondock::testing {

/// \brief Index of a node in the model.
using NodeIndex = std::size_t;
/// \brief A process of a node, identified by node and incarnation; a restart gives a new process.
using Process = std::pair<NodeIndex, std::uint64_t>;

/// \brief One node of the model: the decision modules and the state that the node software keeps next to them.
struct ModelNode
{
    NodeIndex index = 0;
    bool alive = true;
    std::uint64_t incarnation = 1;
    MonotonicTime frozenUntil;
    RevisionNumber highestRevision;
    std::unique_ptr<ConfigStore> config;
    std::unique_ptr<RevisionLog> revisionLog;
    std::unique_ptr<ChildRegistry> childRegistry;
    std::unique_ptr<ParentSelection> parentSelection;
    std::unique_ptr<LeaseSelection> leaseSelection;
    MonotonicTime nextPoll;
    MonotonicTime nextHeadRead;
    std::uint64_t pendingPoll = 0;
    MonotonicTime pollDeadline;
    bool heldLease = false;
    std::optional<LeaseSelectionStep> pendingWrite;
    LeaseWriteResult writeResult = LeaseWriteResult::Committed;
    MonotonicTime writeStarted;
    std::map<NodeId, std::set<Process>> countedProcesses; ///< processes that each child's acknowledgement sum counts
};

/// \brief A poll or its response in transit.
struct ModelMessage
{
    MonotonicTime due;
    NodeIndex from = 0;
    NodeIndex to = 0;
    std::uint64_t poll = 0;
    std::optional<PollRequest> request;
    std::optional<PollAnswer> response;
    std::set<Process> countedProcesses;
};

/// \brief Faults of the message layer and the store.
struct ModelFaults
{
    bool unreliableMessages = false; ///< loses, duplicates and delays messages
    bool regionsPartitioned = false;
    bool storeUnavailable = false;
    bool uncertainWrites = false; ///< loses responses to lease writes and freezes their senders
};

/// \brief Simulated nodes in two regions with a simulated message layer and store.
///
/// \remark Check violations() after each run; it names every property that did not hold.
class TreeModel
{
public:
    TreeModel(std::size_t nodes, std::uint64_t seed, std::size_t fanOut);

    ModelFaults faults;

    void advance(Milliseconds duration);
    void fileTicket();
    void kill(NodeIndex index);
    void restart(NodeIndex index);
    void freeze(NodeIndex index, Milliseconds duration);
    void restartDead();

    [[nodiscard]] bool converged() const;
    [[nodiscard]] std::string describe() const;
    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    [[nodiscard]] std::uint64_t storeReads() const { return m_storeReads; }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }

private:
    void start(ModelNode &node);
    void step(ModelNode &node);
    void stepLease(ModelNode &node);
    void writeLease(ModelNode &node, const LeaseSelectionStep &step);
    void readLeases(ModelNode &node);
    void stepRoot(ModelNode &node);
    void stepSelection(ModelNode &node);
    void sendPoll(ModelNode &node, const Address &to);
    void send(ModelMessage message);
    void deliver(const ModelMessage &message);
    void handleRequest(ModelNode &node, const ModelMessage &message);
    void handleResponse(ModelNode &node, const ModelMessage &message);
    void checkNode(ModelNode &node);
    void checkLeases();
    void checkAcknowledgement(const AcknowledgementSum &sum, const std::set<Process> &countedProcesses);
    [[nodiscard]] std::set<Process> processesOfSubtree(const ModelNode &node) const;
    [[nodiscard]] bool active(const ModelNode &node) const;
    [[nodiscard]] bool canReach(NodeIndex from, NodeIndex to) const;
    [[nodiscard]] bool canReachStore(const ModelNode &node) const;
    [[nodiscard]] bool occurs(std::uint64_t perMille);
    [[nodiscard]] std::uint64_t randomBelow(std::uint64_t bound);
    [[nodiscard]] static std::string region(NodeIndex index);
    [[nodiscard]] static Address address(NodeIndex index);

    RandomSource m_random;
    std::size_t m_fanOut;
    MonotonicTime m_now{Seconds(1'000)};
    std::vector<ModelNode> m_nodes;
    std::vector<ModelMessage> m_messages;
    std::vector<Revision> m_revisions;
    std::map<RowKey, VersionedLease> m_rows;
    std::uint64_t m_rowVersion = 0;
    std::uint64_t m_polls = 0;
    std::uint64_t m_storeReads = 0;
    std::vector<std::string> m_violations;
};

} // namespace dandeliondock::testing
