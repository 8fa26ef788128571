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

/// \brief Number of a node of the model.
using NodeIndex = std::size_t;
/// \brief A process: the same node after a restart is another one.
using Life = std::pair<NodeIndex, std::uint64_t>;

/// \brief One node of the model: the decision modules and what an adapter would keep beside them.
struct ModelNode
{
    NodeIndex index = 0;
    bool alive = true;
    std::uint64_t life = 1;
    MonotonicTime frozenUntil;
    RevisionNumber highest;
    std::unique_ptr<ConfigStore> config;
    std::unique_ptr<RevisionLog> log;
    std::unique_ptr<ChildRegistry> relay;
    std::unique_ptr<ParentSelection> selection;
    std::unique_ptr<LeaseSelection> duty;
    MonotonicTime nextPoll;
    MonotonicTime nextHead;
    std::uint64_t outstanding = 0;
    MonotonicTime pollDeadline;
    bool heldLease = false;
    std::optional<LeaseSelectionStep> unansweredWrite;
    LeaseWriteResult writeResult = LeaseWriteResult::Committed;
    MonotonicTime writeStarted;
    std::map<NodeId, std::set<Life>> covered; ///< lives that each child's sum counts
};

/// \brief A poll or its answer under way.
struct ModelMessage
{
    MonotonicTime due;
    NodeIndex from = 0;
    NodeIndex to = 0;
    std::uint64_t poll = 0;
    std::optional<PollRequest> request;
    std::optional<PollAnswer> answer;
    std::set<Life> covered;
};

/// \brief Faults of the message layer and the store.
struct ModelFaults
{
    bool messages = false; ///< loses, repeats and delays messages
    bool regionsCut = false;
    bool storeAway = false;
    bool writesUncertain = false; ///< loses answers of lease writes and freezes their senders
};

/// \brief Nodes in two regions joined by a fake message layer, with a fake store.
///
/// \remark Check violations() after each run; it names every broken property.
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
    void post(ModelMessage message);
    void deliver(const ModelMessage &message);
    void onRequest(ModelNode &node, const ModelMessage &message);
    void onAnswer(ModelNode &node, const ModelMessage &message);
    void checkNode(ModelNode &node);
    void checkLeases();
    void checkCover(const AcknowledgementSum &sum, const std::set<Life> &covered);
    [[nodiscard]] std::set<Life> coverOf(const ModelNode &node) const;
    [[nodiscard]] bool active(const ModelNode &node) const;
    [[nodiscard]] bool reaches(NodeIndex from, NodeIndex to) const;
    [[nodiscard]] bool reachesStore(const ModelNode &node) const;
    [[nodiscard]] bool chance(std::uint64_t inThousand);
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
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
