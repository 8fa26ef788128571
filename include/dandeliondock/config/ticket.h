#pragma once

#include <dandeliondock/config/resources.h>

#include <string>
#include <vector>

namespace dandeliondock {

/// \brief What an operator files: the whole new state of every resource that it touches.
struct Ticket
{
    TicketNumber number;
    AuthorName author;
    std::string note;
    std::vector<Resource> resources;
    std::vector<ResourceKey> removals;

    bool operator==(const Ticket &) const = default;
};

/// \brief An accepted ticket in the dense order of acceptance.
struct Revision
{
    RevisionNumber number;
    Ticket ticket;
    WallTime acceptedAt;

    bool operator==(const Revision &) const = default;
};

/// \brief Keys that a ticket sets or removes, in its own order. Thread-safe.
[[nodiscard]] std::vector<ResourceKey> affectedKeys(const Ticket &ticket);

} // namespace dandeliondock
