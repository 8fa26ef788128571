#include "tree_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds timeAfterFault{700};
// Covers two lease durations, each followed by a search for a parent with the longest backoff and by one poll for each
// level of the tree.
constexpr Milliseconds convergenceLimit{60'000};
constexpr Milliseconds convergenceCheckInterval{1'000};

enum class Fault {
    Ticket,
    Kill,
    Restart,
    Freeze,
    LongFreeze,
    UnreliableMessages,
    Partition,
    StoreOutage,
    UncertainWrites,
    Wait
};
constexpr std::uint64_t faultKinds = 10;

void applyFault(TreeModel &model, std::uint8_t faultCode)
{
    const NodeIndex node = (faultCode / faultKinds) % model.size();
    switch (static_cast<Fault>(faultCode % faultKinds)) {
    case Fault::Ticket:
        return model.fileTicket();
    case Fault::Kill:
        return model.kill(node);
    case Fault::Restart:
        return model.restart(node);
    case Fault::Freeze:
        return model.freeze(node, Milliseconds(2'500));
    case Fault::LongFreeze:
        return model.freeze(node, Milliseconds(9'000));
    case Fault::UnreliableMessages:
        model.faults.unreliableMessages = !model.faults.unreliableMessages;
        return;
    case Fault::Partition:
        model.faults.regionsPartitioned = !model.faults.regionsPartitioned;
        return;
    case Fault::StoreOutage:
        model.faults.storeUnavailable = !model.faults.storeUnavailable;
        return;
    case Fault::UncertainWrites:
        model.faults.uncertainWrites = !model.faults.uncertainWrites;
        return;
    case Fault::Wait:
        return model.advance(Milliseconds(5'000));
    }
}

bool convergesWithoutFaults(TreeModel &model)
{
    model.faults = {};
    model.restartDead();
    for (Milliseconds spent{0}; spent < convergenceLimit; spent += convergenceCheckInterval) {
        model.advance(convergenceCheckInterval);
        if (model.converged())
            return true;
    }
    return false;
}

} // namespace

// Guards against nodes that return to an earlier revision, persistent loops, acknowledgements of revisions that a node
// does not hold, and a tree that stays partitioned after faults.
TEST_CASE("nodes converge on the latest revision after any sequence of faults", "[distribution]")
{
    rc::prop("properties hold during faults and every node converges after them",
             [](std::uint64_t seed, const std::vector<std::uint8_t> &faultCodes) {
                 TreeModel model(9, seed, 2);
                 model.fileTicket();
                 model.advance(Milliseconds(8'000));
                 for (const std::uint8_t faultCode : faultCodes) {
                     applyFault(model, faultCode);
                     model.advance(timeAfterFault);
                     if (!model.violations().empty())
                         RC_FAIL(model.violations().front());
                 }
                 model.fileTicket();
                 if (!convergesWithoutFaults(model))
                     RC_FAIL(model.describe());
                 RC_ASSERT(model.violations().empty());
             });
}

} // namespace dandeliondock::testing
