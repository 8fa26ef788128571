#pragma once

#include <dandeliondock/config/ticket.h>

#include <rapidcheck.h>

#include <string>

namespace dandeliondock::testing {

/// \brief A name that the validation accepts.
[[nodiscard]] rc::Gen<std::string> anyName();

/// \brief A resource that is valid by itself.
[[nodiscard]] rc::Gen<Resource> anyResource();

/// \brief A ticket with any valid resources and removals.
[[nodiscard]] rc::Gen<Ticket> anyTicket();

} // namespace dandeliondock::testing
