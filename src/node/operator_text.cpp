#include <dandeliondock/node/operator_text.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace dandeliondock {

namespace {

constexpr double shareUnitsPerPercent = 100.0;

std::string ticketStateName(wire::TicketStatus::State state)
{
    switch (state) {
    case wire::TicketStatus::STATE_ACCEPTED:
        return "accepted";
    case wire::TicketStatus::STATE_IN_FORCE:
        return "in force everywhere";
    case wire::TicketStatus::STATE_ROLLING_OUT:
        return "rolling out";
    case wire::TicketStatus::STATE_COMPLETED:
        return "completed";
    case wire::TicketStatus::STATE_ROLLED_BACK:
        return "rolled back";
    default:
        return "unknown";
    }
}

std::string stateText(const wire::TicketStatus &status)
{
    std::string text = ticketStateName(status.state());
    if (status.state() == wire::TicketStatus::STATE_ROLLING_OUT)
        absl::StrAppend(&text, absl::StrFormat(", %.2f%% of the traffic", status.share() / shareUnitsPerPercent));
    return text;
}

std::string acknowledgementText(const wire::TicketStatus &status)
{
    if (status.attached_nodes() == 0)
        return "no acknowledgement seen yet";
    if (isInForce(status))
        return absl::StrCat("held by all ", status.attached_nodes(), " attached nodes");
    return absl::StrCat("not yet held by all ", status.attached_nodes(), " attached nodes; the lowest holds revision ",
                        status.lowest_revision());
}

std::string line(absl::string_view name, absl::string_view value)
{
    return value.empty() ? std::string() : absl::StrFormat("  %-14s %s\n", name, value);
}

std::string rolloutStateName(wire::RolloutRecord::State state)
{
    switch (state) {
    case wire::RolloutRecord::STATE_RUNNING:
        return "running";
    case wire::RolloutRecord::STATE_COMPLETED:
        return "completed";
    case wire::RolloutRecord::STATE_ROLLED_BACK:
        return "rolled back";
    default:
        return "unknown";
    }
}

std::string endpointStateName(wire::EndpointRecord::State state)
{
    switch (state) {
    case wire::EndpointRecord::STATE_STARTING:
        return "starting";
    case wire::EndpointRecord::STATE_SERVING:
        return "serving";
    case wire::EndpointRecord::STATE_LEAVING:
        return "leaving";
    case wire::EndpointRecord::STATE_GONE:
        return "gone";
    default:
        return "unknown";
    }
}

} // namespace

bool isInForce(const wire::TicketStatus &status)
{
    return status.attached_nodes() > 0 && status.lowest_revision() >= status.revision();
}

bool isCompleted(const wire::TicketStatus &status)
{
    return status.state() == wire::TicketStatus::STATE_COMPLETED
           || status.state() == wire::TicketStatus::STATE_IN_FORCE;
}

std::string describeTicket(const wire::TicketStatus &status)
{
    std::string text = absl::StrCat("ticket ", status.number(), " by ", status.author(), "\n");
    absl::StrAppend(&text, line("note", status.note()), line("state", stateText(status)),
                    line("reason", status.reason()), line("revision", absl::StrCat(status.revision())),
                    line("acknowledged", acknowledgementText(status)));
    return text;
}

std::string describeTickets(const wire::TicketList &list)
{
    if (list.tickets().empty())
        return "no tickets\n";
    std::string text = absl::StrFormat("%8s %9s  %-20s %-12s %s\n", "ticket", "revision", "state", "author", "note");
    for (const wire::TicketStatus &status : list.tickets()) {
        absl::StrAppend(&text, absl::StrFormat("%8d %9d  %-20s %-12s %s\n", status.number(), status.revision(),
                                               ticketStateName(status.state()), status.author(), status.note()));
    }
    return text;
}

std::string describeNode(const wire::NodeStatus &status)
{
    std::string text = absl::StrCat("node ", status.node(), " of ", status.deployment(), "\n");
    absl::StrAppend(&text, line("place", absl::StrCat(status.region(), ", ", status.data_centre())),
                    line("revision", absl::StrCat(status.revision())), line("ready", status.ready() ? "yes" : "no"),
                    line("path", absl::StrJoin(status.path(), " > ")),
                    line("children", absl::StrCat(status.children())),
                    line("leases", absl::StrJoin(status.leases(), ", ")),
                    line("acknowledged", absl::StrCat("revision ", status.acknowledgement().lowest_revision(), " by ",
                                                      status.acknowledgement().nodes(), " nodes")));
    for (const wire::EndpointRecord &endpoint : status.endpoints()) {
        absl::StrAppend(&text, line("endpoint",
                                    absl::StrCat(endpoint.target(), " ", endpoint.service(), "/", endpoint.version(),
                                                 " ", endpoint.address(), " ", endpointStateName(endpoint.state()))));
    }
    for (const wire::RolloutRecord &rollout : status.rollouts()) {
        absl::StrAppend(&text, line("rollout", absl::StrCat("ticket ", rollout.ticket(), " ", rollout.service(),
                                                            " stage ", rollout.stage(), " ",
                                                            rolloutStateName(rollout.state()), " ", rollout.reason())));
    }
    return text;
}

} // namespace dandeliondock
