#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/config/ticket.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/node/filing_executor.h>
#include <dandeliondock/store/config_reader.h>
#include <dandeliondock/store/store_hooks.h>
#include <dandeliondock/tickets/filing.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <vector>

namespace dandeliondock {

/// \brief A jitter hook with the random source and the timers of the operating system. Thread-safe.
[[nodiscard]] JitterHook systemJitter();

/// \brief Accepts tickets into the platform's table; runs a TicketFiling to its answer.
///
/// \remark Every method is thread-safe; the calling thread does the work.
class TicketService
{
public:
    TicketService(StoreHooks store, TimeSource time, JitterHook jitter = systemJitter());

    /// \brief Files a ticket by one conditional transaction.
    /// \return OutcomeUnknown when the answer of the store was lost and could not be settled by reading.
    [[nodiscard]] absl::StatusOr<FiledTicket> file(const Ticket &ticket);

    /// \brief The accepted ticket of a number.
    /// \return NotFound when it was not accepted.
    [[nodiscard]] absl::StatusOr<Revision> accepted(TicketNumber number);

    /// \brief Accepted tickets in the order of their numbers, \c limit at most, beginning with \c from.
    [[nodiscard]] absl::StatusOr<std::vector<Revision>> list(TicketNumber from, std::size_t limit);

    /// \brief The configuration at the table's head.
    [[nodiscard]] absl::StatusOr<ConfigStatePtr> stateAtHead(RevisionNumber head);

private:
    StoreHooks m_store;
    TimeSource m_time;
    JitterHook m_jitter;
    ConfigStore m_cache;
};

} // namespace dandeliondock
