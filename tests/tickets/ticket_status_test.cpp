#include <dandeliondock/tickets/ticket_status.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

constexpr WallTime deadline{Milliseconds(1'000)};

Revision acceptedWith(std::vector<std::string> rollingServices)
{
    Revision accepted;
    accepted.number = RevisionNumber(4);
    accepted.ticket.number = TicketNumber(9);
    accepted.ticket.author = AuthorName("ada");
    for (const std::string &name : rollingServices) {
        Service service;
        service.name = ServiceName(name);
        service.version = VersionName("v2");
        service.previousVersion = VersionName("v1");
        service.rollout = RolloutPlan{deadline, {}, Milliseconds(1)};
        accepted.ticket.resources.emplace_back(service);
    }
    return accepted;
}

TicketRollout progress(const std::string &service, RolloutState state, std::uint32_t share)
{
    return {{TicketNumber(9), ServiceName(service), StageIndex(0), state, "failures"}, Share(share)};
}

} // namespace

// Guards against a ticket that is called in force before every attached node holds it.
TEST_CASE("a ticket is in force when every attached node holds its revision", "[tickets]")
{
    TicketStatusInput view;
    CHECK(ticketStatus(acceptedWith({}), view).state == TicketState::Accepted);
    view.held = {RevisionNumber(3), 12};
    CHECK(ticketStatus(acceptedWith({}), view).state == TicketState::Accepted);
    view.held = {RevisionNumber(4), 12};
    CHECK(ticketStatus(acceptedWith({}), view).state == TicketState::InForce);
}

// Guards against a rollback that is hidden by another rollout's progress.
TEST_CASE("a rollback takes precedence whatever the order of the rollouts", "[tickets]")
{
    for (const std::vector<std::string> &order :
         {std::vector<std::string>{"ledger", "pricing"}, std::vector<std::string>{"pricing", "ledger"}}) {
        for (const RolloutState other : {RolloutState::Running, RolloutState::Completed}) {
            TicketStatusInput view;
            view.now = deadline + Milliseconds(1);
            view.rollouts = {progress("ledger", RolloutState::RolledBack, 0), progress("pricing", other, 500)};
            const TicketStatus status = ticketStatus(acceptedWith(order), view);
            CHECK(status.state == TicketState::RolledBack);
            CHECK(status.reason == "ledger: failures");
            CHECK_FALSE(status.isOverdue);
        }
    }
}

// Guards against a rollout that is called completed while one of its services still runs.
TEST_CASE("a ticket is completed when every rollout that it started is", "[tickets]")
{
    TicketStatusInput view;
    view.rollouts = {progress("ledger", RolloutState::Completed, 10'000),
                     progress("pricing", RolloutState::Running, 500)};
    const TicketStatus running = ticketStatus(acceptedWith({"ledger", "pricing"}), view);
    CHECK(running.state == TicketState::RollingOut);
    CHECK(running.share == Share(500));
    view.rollouts[1].record.state = RolloutState::Completed;
    CHECK(ticketStatus(acceptedWith({"ledger", "pricing"}), view).state == TicketState::Completed);
    CHECK(ticketStatus(acceptedWith({"ledger", "documents"}), view).state == TicketState::RollingOut);
}

// Guards against an operator who waits for a rollout that is held back without being told why.
TEST_CASE("a rollout past its deadline says whether the store is away", "[tickets]")
{
    TicketStatusInput view;
    view.rollouts = {progress("ledger", RolloutState::Running, 500)};
    view.now = deadline;
    CHECK_FALSE(ticketStatus(acceptedWith({"ledger"}), view).isOverdue);
    view.now = deadline + Milliseconds(1);
    CHECK(ticketStatus(acceptedWith({"ledger"}), view).reason == "late");
    view.storeAvailable = false;
    const TicketStatus held = ticketStatus(acceptedWith({"ledger"}), view);
    CHECK(held.isOverdue);
    CHECK(held.reason == "late, held: store away");
}

} // namespace dandeliondock
