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

/// \brief Returns a jitter hook that uses the system's random source and sleeps the calling thread. Thread-safe.
[[nodiscard]] JitterHook systemJitter();

/// \brief Files tickets in the platform's table by running a TicketFiling to its result, and reads accepted tickets.
///
/// \remark Every method is thread-safe and blocks the calling thread.
class TicketService
{
public:
    TicketService(StoreHooks store, TimeSource time, JitterHook jitter = systemJitter());

    /// \brief Files a ticket in one conditional transaction.
    /// \return OutcomeUnknown when the store's response was lost and reading did not show whether the commit took
    /// effect.
    [[nodiscard]] absl::StatusOr<FiledTicket> file(const Ticket &ticket);

    /// \brief Returns the accepted revision of a ticket number.
    /// \return NotFound when it was not accepted.
    [[nodiscard]] absl::StatusOr<Revision> accepted(TicketNumber number);

    /// \brief Returns at most \c limit accepted tickets in the order of their numbers, beginning at \c from.
    [[nodiscard]] absl::StatusOr<std::vector<Revision>> list(TicketNumber from, std::size_t limit);

    /// \brief Returns the configuration at \c head, the revision of the table's head.
    /// \return HeadContended when another ticket was accepted meanwhile.
    [[nodiscard]] absl::StatusOr<ConfigStatePtr> stateAtHead(RevisionNumber head);

private:
    StoreHooks m_store;
    TimeSource m_time;
    JitterHook m_jitter;
    ConfigStore m_cache;
};

} // namespace dandeliondock
