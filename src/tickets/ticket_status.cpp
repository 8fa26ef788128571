#include <dandeliondock/tickets/ticket_status.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr absl::string_view lateReason = "late";
constexpr absl::string_view lateHeldReason = "late, held: store away";

std::vector<Service> startedRollouts(const Ticket &ticket)
{
    std::vector<Service> services;
    for (const Resource &resource : ticket.resources) {
        const Service *service = std::get_if<Service>(&resource);
        if (service != nullptr && service->rollout)
            services.push_back(*service);
    }
    return services;
}

TicketRollout progressOf(const Service &service, TicketNumber ticket, const TicketStatusInput &view)
{
    for (const TicketRollout &progress : view.rollouts) {
        if (progress.record.ticket == ticket && progress.record.service == service.name)
            return progress;
    }
    TicketRollout none;
    none.record.ticket = ticket;
    none.record.service = service.name;
    return none;
}

class StatusBuilder
{
public:
    explicit StatusBuilder(TicketStatus &status) : m_status(status) {}

    void add(const Service &service, const TicketRollout &progress, const TicketStatusInput &view)
    {
        m_status.share = std::min(m_status.share, progress.share);
        switch (progress.record.state) {
        case RolloutState::RolledBack:
            m_status.reason = absl::StrCat(service.name.value(), ": ", progress.record.reason);
            m_status.state = TicketState::RolledBack;
            break;
        case RolloutState::Running:
            addRunning(*service.rollout, view);
            break;
        case RolloutState::Completed:
            break;
        }
    }

private:
    void addRunning(const RolloutPlan &plan, const TicketStatusInput &view)
    {
        if (m_status.state == TicketState::RolledBack)
            return;
        m_status.state = TicketState::RollingOut;
        if (view.now <= plan.deadline)
            return;
        m_status.isOverdue = true;
        m_status.reason = std::string(view.storeAvailable ? lateReason : lateHeldReason);
    }

    TicketStatus &m_status;
};

} // namespace

TicketStatus ticketStatus(const Revision &accepted, const TicketStatusInput &view)
{
    TicketStatus status;
    status.number = accepted.ticket.number;
    status.revision = accepted.number;
    status.held = view.held;
    status.inForce = view.held.nodes > 0 && view.held.lowest >= accepted.number;
    const std::vector<Service> services = startedRollouts(accepted.ticket);
    if (services.empty()) {
        status.state = status.inForce ? TicketState::InForce : TicketState::Accepted;
        return status;
    }
    status.state = TicketState::Completed;
    status.share = fullShare;
    StatusBuilder builder(status);
    for (const Service &service : services)
        builder.add(service, progressOf(service, accepted.ticket.number, view), view);
    status.isOverdue = status.isOverdue && status.state == TicketState::RollingOut;
    return status;
}

} // namespace dandeliondock
