#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/units.h>

#include <cstdint>

namespace dandeliondock {

inline constexpr Milliseconds backoffBase{100};
inline constexpr Milliseconds backoffCap{5'000};

/// \brief Exponential backoff with full jitter, so that nodes that failed together do not retry together.
///
/// \remark Not thread-safe.
class Backoff
{
public:
    /// \pre 0 < \c base <= \c cap.
    explicit Backoff(RandomSource random, Milliseconds base = backoffBase, Milliseconds cap = backoffCap);

    /// \brief Returns a delay drawn uniformly from [0, limit]. The limit starts at \c base and doubles with each call
    /// up to \c cap.
    [[nodiscard]] Milliseconds next();

    /// \brief Resets the limit to \c base; called after a success.
    void reset() noexcept { m_limit = m_base; }

private:
    RandomSource m_random;
    Milliseconds m_base;
    Milliseconds m_cap;
    Milliseconds m_limit;
};

} // namespace dandeliondock
