#pragma once

#include <dandeliondock/core/units.h>

#include <optional>

namespace dandeliondock {

/// \brief Longest time since the last response on a connection at which it may carry a non-idempotent request.
///
/// \remark On a connection that is dead without notice such a request would end as "may have run" and could not be
/// retried. Opening a new connection costs 1 ms.
inline constexpr Milliseconds maxIdleForNonIdempotent{1'000};

/// \brief Returns the longest time since its last response at which a connection may be reused; empty without a limit.
/// Thread-safe.
[[nodiscard]] constexpr std::optional<Milliseconds> allowedConnectionIdle(bool idempotent) noexcept
{
    if (idempotent)
        return std::nullopt;
    return maxIdleForNonIdempotent;
}

} // namespace dandeliondock
