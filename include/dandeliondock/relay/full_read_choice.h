#pragma once

#include <dandeliondock/core/units.h>

#include <algorithm>
#include <optional>

namespace dandeliondock {

/// \brief Age of a copy from which the platform is asked for the full table instead of the changes since: each change
/// carries its whole row, and their number grows with the age.
inline constexpr Milliseconds maxChangesAge{500};

/// \brief Time after a full read without news in which the platform is asked for changes, so that full reads end with
/// the changes. It covers the pause before the next poll.
inline constexpr Milliseconds futileReadTime{1'000};

/// \brief Decides whether a read of one table from the platform asks for the full table although the changes since the
/// known copy would do.
///
/// \remark Not thread-safe.
class FullReadChoice
{
public:
    /// \brief Records a result from any source.
    /// \param confirmedAt a time at which the platform's table had no changes after the result
    void recordResult(MonotonicTime confirmedAt, MonotonicTime now, bool isFull, bool hasNewRows)
    {
        m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
        if (isFull && !hasNewRows)
            m_futileUntil = now + futileReadTime;
    }

    /// \brief Whether the next read from the platform asks for the full table.
    [[nodiscard]] bool isFullReadDue(MonotonicTime now) const
    {
        return m_confirmedAt && now >= m_futileUntil && now - *m_confirmedAt > maxChangesAge;
    }

private:
    std::optional<MonotonicTime> m_confirmedAt;
    MonotonicTime m_futileUntil;
};

} // namespace dandeliondock
