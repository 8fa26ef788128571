#pragma once

#include <dandeliondock/config/resources.h>

#include <string>
#include <vector>

namespace dandeliondock {

/// \brief A configuration change filed by an operator: the complete new value of every resource that it sets, and the
/// keys of those that it removes.
struct Ticket
{
    TicketNumber number;
    AuthorName author;
    std::string note;
    std::vector<Resource> resources;
    std::vector<ResourceKey> removals;

    bool operator==(const Ticket &) const = default;
};

/// \brief An accepted ticket. Revisions are numbered without gaps in the order of acceptance.
struct Revision
{
    RevisionNumber number;
    Ticket ticket;
    WallTime acceptedAt;

    bool operator==(const Revision &) const = default;
};

/// \brief Returns the keys that a ticket sets, followed by those that it removes, in the order of the ticket.
/// Thread-safe.
[[nodiscard]] std::vector<ResourceKey> affectedKeys(const Ticket &ticket);

} // namespace dandeliondock
