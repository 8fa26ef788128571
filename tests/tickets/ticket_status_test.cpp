#include <dandeliondock/tickets/ticket_status.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

constexpr WallTime deadline{Milliseconds(1'000)};

Revision acceptedRevision(std::vector<std::string> rolloutServices)
{
    Revision accepted;
    accepted.number = RevisionNumber(4);
    accepted.ticket.number = TicketNumber(9);
    accepted.ticket.author = AuthorName("ada");
    for (const std::string &name : rolloutServices) {
        Service service;
        service.name = ServiceName(name);
        service.version = VersionName("v2");
        service.previousVersion = VersionName("v1");
        service.rollout = RolloutPlan{deadline, {}, Milliseconds(1)};
        accepted.ticket.resources.emplace_back(service);
    }
    return accepted;
}

TicketRollout makeRollout(const std::string &service, RolloutState state, std::uint32_t share)
{
    return {{TicketNumber(9), ServiceName(service), StageIndex(0), state, "failures"}, Share(share)};
}

} // namespace

// Guards against a ticket that is reported as in force before every attached node has applied it.
TEST_CASE("a ticket is in force when every attached node has applied its revision", "[tickets]")
{
    TicketStatusInput input;
    CHECK(ticketStatus(acceptedRevision({}), input).state == TicketState::Accepted);
    input.acknowledged = {RevisionNumber(3), 12};
    CHECK(ticketStatus(acceptedRevision({}), input).state == TicketState::Accepted);
    input.acknowledged = {RevisionNumber(4), 12};
    CHECK(ticketStatus(acceptedRevision({}), input).state == TicketState::InForce);
}

// Guards against a rollback that is hidden by the state of another rollout of the ticket.
TEST_CASE("a rollback takes precedence in any order of the rollouts", "[tickets]")
{
    for (const std::vector<std::string> &order :
         {std::vector<std::string>{"ledger", "pricing"}, std::vector<std::string>{"pricing", "ledger"}}) {
        for (const RolloutState other : {RolloutState::Running, RolloutState::Completed}) {
            TicketStatusInput input;
            input.now = deadline + Milliseconds(1);
            input.rollouts = {makeRollout("ledger", RolloutState::RolledBack, 0), makeRollout("pricing", other, 500)};
            const TicketStatus status = ticketStatus(acceptedRevision(order), input);
            CHECK(status.state == TicketState::RolledBack);
            CHECK(status.reason == "ledger: failures");
            CHECK_FALSE(status.isOverdue);
        }
    }
}

// Guards against a ticket that is reported as completed while one of its rollouts still runs.
TEST_CASE("a ticket is completed when all of its rollouts are completed", "[tickets]")
{
    TicketStatusInput input;
    input.rollouts = {makeRollout("ledger", RolloutState::Completed, 10'000),
                      makeRollout("pricing", RolloutState::Running, 500)};
    const TicketStatus running = ticketStatus(acceptedRevision({"ledger", "pricing"}), input);
    CHECK(running.state == TicketState::RollingOut);
    CHECK(running.share == Share(500));
    input.rollouts[1].record.state = RolloutState::Completed;
    CHECK(ticketStatus(acceptedRevision({"ledger", "pricing"}), input).state == TicketState::Completed);
    CHECK(ticketStatus(acceptedRevision({"ledger", "documents"}), input).state == TicketState::RollingOut);
}

// Guards against an overdue rollout whose status does not say why it makes no progress.
TEST_CASE("the status of an overdue rollout says whether the store is unavailable", "[tickets]")
{
    TicketStatusInput input;
    input.rollouts = {makeRollout("ledger", RolloutState::Running, 500)};
    input.now = deadline;
    CHECK_FALSE(ticketStatus(acceptedRevision({"ledger"}), input).isOverdue);
    input.now = deadline + Milliseconds(1);
    CHECK(ticketStatus(acceptedRevision({"ledger"}), input).reason == "late");
    input.storeAvailable = false;
    const TicketStatus overdue = ticketStatus(acceptedRevision({"ledger"}), input);
    CHECK(overdue.isOverdue);
    CHECK(overdue.reason == "late, held: store away");
}

} // namespace dandeliondock
