#pragma once

#include <dandeliondock/config/ticket.h>

#include <rapidcheck.h>

#include <string>

namespace dandeliondock::testing {

/// \brief Generates a name that passes validation.
[[nodiscard]] rc::Gen<std::string> anyName();

/// \brief Generates a resource that is valid by itself; the resources that it names may be missing.
[[nodiscard]] rc::Gen<Resource> anyResource();

/// \brief Generates a ticket with any number of such resources and removals.
[[nodiscard]] rc::Gen<Ticket> anyTicket();

} // namespace dandeliondock::testing
