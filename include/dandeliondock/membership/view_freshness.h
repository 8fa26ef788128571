#pragma once

#include <dandeliondock/core/units.h>

#include <optional>

namespace dandeliondock {

/// \brief Time without contact to the parent after which the view of the targets is stale.
inline constexpr Milliseconds viewLife{3'000};
/// \brief Age up to which a probe, or an answer without a drain mark, proves that a target takes work.
inline constexpr Milliseconds verificationTtl{2'000};

/// \brief Whether the view of the targets can be trusted.
///
/// \remark A value; not thread-safe.
class ViewFreshness
{
public:
    /// \brief Notes a whole exchange with the parent, or with the store when the node is the root.
    void contact(MonotonicTime now) noexcept { m_lastContact = now; }

    /// \brief Whether the last contact is too long ago; true before the first.
    [[nodiscard]] bool isStale(MonotonicTime now) const noexcept
    {
        return m_lastContact == MonotonicTime::min() || now - m_lastContact >= viewLife;
    }

    /// \brief Whether a target that was last proved at \c proof needs a probe before it is used.
    [[nodiscard]] bool needsProbe(std::optional<MonotonicTime> proof, MonotonicTime now) const noexcept
    {
        return isStale(now) && (!proof || now - *proof >= verificationTtl);
    }

private:
    MonotonicTime m_lastContact = MonotonicTime::min(); ///< one word, so that an atomic of this type takes no lock
};

} // namespace dandeliondock
