#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/config/ticket.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/store/store_hooks.h>

#include <absl/status/statusor.h>

namespace dandeliondock {

/// \brief An accepted ticket.
struct FiledTicket
{
    RevisionNumber revision;
    bool repeated = false;
};

/// \brief Accepts tickets into the platform's table.
///
/// \remark Every method is thread-safe; the calling thread does the work.
class TicketService
{
public:
    TicketService(StoreHooks store, TimeSource time);

    /// \brief Files a ticket by one conditional transaction.
    /// \return OutcomeUnknown when the answer of the store was lost and could not be settled by reading.
    [[nodiscard]] absl::StatusOr<FiledTicket> file(const Ticket &ticket);

    /// \brief The accepted ticket of a number.
    [[nodiscard]] absl::StatusOr<Revision> accepted(TicketNumber number);

    /// \brief The configuration at the table's head.
    [[nodiscard]] absl::StatusOr<ConfigSnapshot> stateAtHead(RevisionNumber head);

private:
    [[nodiscard]] absl::StatusOr<std::optional<FiledTicket>> tryOnce(const Ticket &ticket);

    StoreHooks m_store;
    TimeSource m_time;
    ConfigStore m_cache;
};

/// \brief Reads the revisions after the one in force, up to \c head, into \c config.
[[nodiscard]] absl::Status readRevisions(const StoreHooks &store, RevisionNumber head, ConfigStore &config);

/// \brief Reads the number of the latest revision.
[[nodiscard]] absl::StatusOr<RevisionNumber> readHead(const StoreHooks &store);

} // namespace dandeliondock
