#pragma once

#include <dandeliondock/core/units.h>

#include <algorithm>
#include <cstdint>

namespace dandeliondock {

/// \brief How many requests one caller has at one target at once: rises by one for each round of answers, falls by a
/// factor with each shed, and stays between 1 and the target's slots.
///
/// \remark A value; not thread-safe.
class ConcurrencyLimit
{
public:
    /// \param callers that share the target; 0 counts as 1.
    ConcurrencyLimit(SlotCount slots, std::size_t callers) noexcept
        : m_slots(std::max(1.0, static_cast<double>(slots.value()))),
          m_limit(std::max(1.0, m_slots / static_cast<double>(std::max<std::size_t>(1, callers))))
    {
    }

    [[nodiscard]] std::uint32_t value() const noexcept { return static_cast<std::uint32_t>(m_limit); }

    [[nodiscard]] std::uint32_t slots() const noexcept { return static_cast<std::uint32_t>(m_slots); }

    /// \brief Notes an answer; a limit that is not used shows nothing and stays.
    void answered(std::uint32_t inFlight) noexcept
    {
        if (inFlight * 2 >= value())
            m_limit = std::min(m_slots, m_limit + 1.0 / m_limit);
    }

    void shed() noexcept { m_limit = std::max(1.0, m_limit * shedFactor); }

private:
    static constexpr double shedFactor = 0.7;

    double m_slots;
    double m_limit;
};

} // namespace dandeliondock
