#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/units.h>

#include <cstdint>

namespace dandeliondock {

inline constexpr Milliseconds backoffBase{100};
inline constexpr Milliseconds backoffCap{5'000};

/// \brief Delays between tries with full jitter, so that nodes that failed together do not return together.
///
/// \remark One thread at a time.
class Backoff
{
public:
    /// \pre 0 < \c base <= \c cap.
    explicit Backoff(RandomSource random, Milliseconds base = backoffBase, Milliseconds cap = backoffCap);

    /// \brief A delay drawn from [0, limit]; the limit doubles with each call up to the cap.
    [[nodiscard]] Milliseconds next();

    /// \brief Returns to the first limit, after a success.
    void reset() noexcept { m_limit = m_base; }

private:
    RandomSource m_random;
    Milliseconds m_base;
    Milliseconds m_cap;
    Milliseconds m_limit;
};

} // namespace dandeliondock
