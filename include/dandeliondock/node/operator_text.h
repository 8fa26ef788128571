#pragma once

#include <status.pb.h>
#include <tickets.pb.h>

#include <string>

namespace dandeliondock {

/// \brief A status on several lines for people. Thread-safe.
[[nodiscard]] std::string describeTicket(const wire::TicketStatus &status);

/// \brief A table of tickets for people. Thread-safe.
[[nodiscard]] std::string describeTickets(const wire::TicketList &list);

/// \brief A node's status on several lines for people. Thread-safe.
[[nodiscard]] std::string describeNode(const wire::NodeStatus &status);

/// \brief Whether every attached node holds the ticket's revision. Thread-safe.
[[nodiscard]] bool isInForce(const wire::TicketStatus &status);

/// \brief Whether nothing of the ticket is left to do: in force, and every rollout that it started completed.
/// Thread-safe.
[[nodiscard]] bool isCompleted(const wire::TicketStatus &status);

} // namespace dandeliondock
