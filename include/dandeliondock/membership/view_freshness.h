#pragma once

#include <dandeliondock/core/units.h>

#include <optional>

namespace dandeliondock {

/// \brief Time without contact with the parent after which the known target records count as stale.
inline constexpr Milliseconds viewTtl{3'000};
/// \brief Time for which a probe, or a response without the drain header, is evidence that a target accepts requests.
inline constexpr Milliseconds verificationTtl{2'000};

/// \brief Tracks whether the known target records are recent enough to be used without a probe.
///
/// \remark A value type; not thread-safe.
class ViewFreshness
{
public:
    /// \brief Records a complete exchange with the parent, or with the store when this node is the root.
    void recordContact(MonotonicTime now) noexcept { m_lastContact = now; }

    /// \brief Whether the last contact is viewTtl or longer ago; true before the first contact.
    [[nodiscard]] bool isStale(MonotonicTime now) const noexcept
    {
        return m_lastContact == MonotonicTime::min() || now - m_lastContact >= viewTtl;
    }

    /// \brief Whether a target needs a probe before it is used.
    /// \param lastVerified last time the target was seen to accept requests; empty if never
    [[nodiscard]] bool needsProbe(std::optional<MonotonicTime> lastVerified, MonotonicTime now) const noexcept
    {
        return isStale(now) && (!lastVerified || now - *lastVerified >= verificationTtl);
    }

private:
    MonotonicTime m_lastContact = MonotonicTime::min(); ///< one word, so that std::atomic of this type is lock-free
};

} // namespace dandeliondock
