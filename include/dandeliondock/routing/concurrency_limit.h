#pragma once

#include <dandeliondock/core/units.h>

#include <algorithm>
#include <cstdint>

namespace dandeliondock {

/// \brief Limit of the requests that one caller has in flight at one target (AIMD): grows by one for each full round of
/// responses, shrinks by a factor with each shed request, and stays between 1 and the target's slots.
///
/// \remark A value; not thread-safe.
class ConcurrencyLimit
{
public:
    /// \brief Starts with the caller's equal share of the slots.
    /// \param callers number of callers that share the target; 0 counts as 1.
    ConcurrencyLimit(SlotCount slots, std::size_t callers) noexcept
        : m_slots(std::max(1.0, static_cast<double>(slots.value()))),
          m_limit(std::max(1.0, m_slots / static_cast<double>(std::max<std::size_t>(1, callers))))
    {
    }

    /// \brief Returns the limit, rounded down.
    [[nodiscard]] std::uint32_t value() const noexcept { return static_cast<std::uint32_t>(m_limit); }

    /// \brief Returns the target's slots, at least 1.
    [[nodiscard]] std::uint32_t slots() const noexcept { return static_cast<std::uint32_t>(m_slots); }

    /// \brief Records a response and raises the limit, unless less than half of it is in use: the response then does
    /// not show that the target could take more.
    void recordResponse(std::uint32_t inFlight) noexcept
    {
        if (inFlight * 2 >= value())
            m_limit = std::min(m_slots, m_limit + 1.0 / m_limit);
    }

    /// \brief Records a request that the target shed, and lowers the limit.
    void recordShed() noexcept { m_limit = std::max(1.0, m_limit * shedFactor); }

private:
    static constexpr double shedFactor = 0.7;

    double m_slots;
    double m_limit;
};

} // namespace dandeliondock
