#include "tree_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds shortWait{700};
// Two lease terms, each followed by a search with the longest backoff and the depth of the tree in polls.
constexpr Milliseconds convergenceLimit{60'000};
constexpr Milliseconds round{1'000};

enum class Fault { Ticket, Kill, Restart, Freeze, LongFreeze, Messages, Cut, Store, Writes, Wait };
constexpr std::uint64_t faultKinds = 10;

void applyFault(TreeModel &model, std::uint8_t choice)
{
    const NodeIndex node = (choice / faultKinds) % model.size();
    switch (static_cast<Fault>(choice % faultKinds)) {
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
    case Fault::Messages:
        model.faults.messages = !model.faults.messages;
        return;
    case Fault::Cut:
        model.faults.regionsCut = !model.faults.regionsCut;
        return;
    case Fault::Store:
        model.faults.storeAway = !model.faults.storeAway;
        return;
    case Fault::Writes:
        model.faults.writesUncertain = !model.faults.writesUncertain;
        return;
    case Fault::Wait:
        return model.advance(Milliseconds(5'000));
    }
}

bool settles(TreeModel &model)
{
    model.faults = {};
    model.restartDead();
    for (Milliseconds spent{0}; spent < convergenceLimit; spent += round) {
        model.advance(round);
        if (model.converged())
            return true;
    }
    return false;
}

} // namespace

// Guards against a tree that goes back, keeps a loop, acknowledges too much or stays apart after faults.
TEST_CASE("nodes converge on the latest revision after any faults", "[distribution]")
{
    rc::prop("properties hold during faults and every node converges after them",
             [](std::uint64_t seed, const std::vector<std::uint8_t> &script) {
                 TreeModel model(9, seed, 2);
                 model.fileTicket();
                 model.advance(Milliseconds(8'000));
                 for (const std::uint8_t choice : script) {
                     applyFault(model, choice);
                     model.advance(shortWait);
                     if (!model.violations().empty())
                         RC_FAIL(model.violations().front());
                 }
                 model.fileTicket();
                 if (!settles(model))
                     RC_FAIL(model.describe());
                 RC_ASSERT(model.violations().empty());
             });
}

} // namespace dandeliondock::testing
