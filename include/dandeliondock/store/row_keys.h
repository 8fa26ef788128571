#pragma once

#include <dandeliondock/core/ids.h>

namespace dandeliondock {

/// \brief Returns the key of the row with the number of the latest revision.
[[nodiscard]] RowKey headKey();
/// \brief Returns the key of the row of an accepted ticket.
[[nodiscard]] RowKey ticketKey(TicketNumber number);
/// \brief Returns the key of the row of a revision. The keys sort by revision number.
[[nodiscard]] RowKey revisionKey(RevisionNumber number);
/// \brief Returns the key of the row with the state of a ticket's rollout.
[[nodiscard]] RowKey rolloutKey(TicketNumber number);

inline constexpr const char *ticketPrefix = "ticket/";
inline constexpr const char *revisionPrefix = "rev/";
inline constexpr const char *rolloutPrefix = "rollout/";

} // namespace dandeliondock
