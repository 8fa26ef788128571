#include <dandeliondock/tickets/ticket_status.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr absl::string_view overdueReason = "late";
constexpr absl::string_view overdueStoreUnavailableReason = "late, held: store away";

std::vector<Service> servicesWithRollout(const Ticket &ticket)
{
    std::vector<Service> services;
    for (const Resource &resource : ticket.resources) {
        const Service *service = std::get_if<Service>(&resource);
        if (service != nullptr && service->rollout)
            services.push_back(*service);
    }
    return services;
}

TicketRollout rolloutOf(const Service &service, TicketNumber ticket, const TicketStatusInput &input)
{
    for (const TicketRollout &rollout : input.rollouts) {
        if (rollout.record.ticket == ticket && rollout.record.service == service.name)
            return rollout;
    }
    TicketRollout notStarted;
    notStarted.record.ticket = ticket;
    notStarted.record.service = service.name;
    return notStarted;
}

class StatusBuilder
{
public:
    explicit StatusBuilder(TicketStatus &status) : m_status(status) {}

    void addRollout(const Service &service, const TicketRollout &rollout, const TicketStatusInput &input)
    {
        m_status.share = std::min(m_status.share, rollout.share);
        switch (rollout.record.state) {
        case RolloutState::RolledBack:
            m_status.reason = absl::StrCat(service.name.value(), ": ", rollout.record.reason);
            m_status.state = TicketState::RolledBack;
            break;
        case RolloutState::Running:
            addRunningRollout(*service.rollout, input);
            break;
        case RolloutState::Completed:
            break;
        }
    }

private:
    void addRunningRollout(const RolloutPlan &plan, const TicketStatusInput &input)
    {
        if (m_status.state == TicketState::RolledBack)
            return;
        m_status.state = TicketState::RollingOut;
        if (input.now <= plan.deadline)
            return;
        m_status.isOverdue = true;
        m_status.reason = std::string(input.storeAvailable ? overdueReason : overdueStoreUnavailableReason);
    }

    TicketStatus &m_status;
};

} // namespace

TicketStatus ticketStatus(const Revision &accepted, const TicketStatusInput &input)
{
    TicketStatus status;
    status.number = accepted.ticket.number;
    status.revision = accepted.number;
    status.acknowledged = input.acknowledged;
    status.inForce = input.acknowledged.nodes > 0 && input.acknowledged.lowest >= accepted.number;
    const std::vector<Service> services = servicesWithRollout(accepted.ticket);
    if (services.empty()) {
        status.state = status.inForce ? TicketState::InForce : TicketState::Accepted;
        return status;
    }
    status.state = TicketState::Completed;
    status.share = fullShare;
    StatusBuilder builder(status);
    for (const Service &service : services)
        builder.addRollout(service, rolloutOf(service, accepted.ticket.number, input), input);
    status.isOverdue = status.isOverdue && status.state == TicketState::RollingOut;
    return status;
}

} // namespace dandeliondock
