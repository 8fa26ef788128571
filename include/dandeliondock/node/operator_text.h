#pragma once

#include <status.pb.h>
#include <tickets.pb.h>

#include <string>

namespace dandeliondock {

/// \brief Returns a ticket's status as readable text of several lines. Thread-safe.
[[nodiscard]] std::string describeTicket(const wire::TicketStatus &status);

/// \brief Returns tickets as a readable table. Thread-safe.
[[nodiscard]] std::string describeTickets(const wire::TicketList &list);

/// \brief Returns a node's status as readable text of several lines. Thread-safe.
[[nodiscard]] std::string describeNode(const wire::NodeStatus &status);

/// \brief Whether every attached node has applied the ticket's revision. Thread-safe.
[[nodiscard]] bool isInForce(const wire::TicketStatus &status);

/// \brief Whether the ticket is in force and every rollout that it started is completed. Thread-safe.
[[nodiscard]] bool isCompleted(const wire::TicketStatus &status);

} // namespace dandeliondock
