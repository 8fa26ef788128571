#pragma once

#include <dandeliondock/core/units.h>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>

namespace dandeliondock {

/// \brief Age at which the work time that a target reported for the moment is no longer passed on.
inline constexpr Milliseconds serverWorkPercentTtl{200};
/// \brief Largest work time in percent that is accepted.
inline constexpr std::uint32_t maxWorkPercent = 10'000;

/// \brief Load that a target reports about itself.
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t workPercent = 0; ///< work time on its machine now, 100 is the usual one; 0 when it is not reported

    [[nodiscard]] bool isFull() const noexcept { return slots > 0 && running + waiting >= slots; }

    bool operator==(const ServerLoad &) const = default;
};

/// \brief Parses a header of three or four numbers: running, waiting, slots, work time in percent. Returns nothing for
/// any other text and for numbers out of range. Thread-safe.
[[nodiscard]] std::optional<ServerLoad> parseServerLoad(absl::string_view header);

} // namespace dandeliondock
