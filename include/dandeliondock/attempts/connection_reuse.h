#pragma once

#include <dandeliondock/core/units.h>

#include <optional>

namespace dandeliondock {

/// \brief Longest time since its last answer after which a connection may carry a non-idempotent request.
///
/// \remark A connection that went silent would turn such a request into one that may have run. A fresh one costs 1 ms.
inline constexpr Milliseconds maxIdleForNonIdempotent{1'000};

/// \brief How recently a connection must have carried an answer to be reused; empty when any will do. Thread-safe.
[[nodiscard]] constexpr std::optional<Milliseconds> allowedConnectionIdle(bool idempotent) noexcept
{
    if (idempotent)
        return std::nullopt;
    return maxIdleForNonIdempotent;
}

} // namespace dandeliondock
