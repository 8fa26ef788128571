#pragma once

#include <dandeliondock/core/units.h>

#include <absl/strings/string_view.h>

#include <cstddef>

namespace dandeliondock {

/// \brief Path on a door at which a proxy passes changes of a table on.
inline constexpr absl::string_view relayTablePath = "/dock/table";
/// \brief Longest wait for a change at another proxy; shorter than at the platform, as the proxies on the way may fail
/// one after the other.
inline constexpr Milliseconds relayHold{400};
/// \brief Age at which what another proxy passes on is not believed any more: it is cut off from the platform without
/// having noticed. Confirmations come through the tree with each answer of the platform.
inline constexpr Milliseconds maxRelayedAge{1'500};
/// \brief Number of known proxies from which on a fleet is crowded: whole tables come through others, and most proxies
/// wait for another one instead of reading from the platform. In a smaller fleet all of them may read from the
/// platform, which is quicker and costs a link between regions less than it carries.
inline constexpr std::size_t largeFleetThreshold = 32;

} // namespace dandeliondock
