#pragma once

#include <dandeliondock/core/units.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dandeliondock {

/// \brief Counts the offered and admitted requests of one account in a sliding window of short slices.
///
/// \remark Not thread-safe. Times must not decrease from call to call by more than the window.
class UsageWindow
{
public:
    /// \pre \c window is at least 40 ms.
    explicit UsageWindow(Milliseconds window);

    void recordOffered(MonotonicTime now);
    void recordAdmitted(MonotonicTime now);

    /// \brief Removes a request that was admitted at \c admittedAt. Does nothing if that time has left the window.
    void removeAdmitted(MonotonicTime admittedAt, MonotonicTime now);

    /// \brief Number of admitted requests in the window, up to one slice more than the window.
    [[nodiscard]] RequestAmount admittedInWindow(MonotonicTime now);

    /// \brief Recent rates, over four complete slices and the current one.
    [[nodiscard]] RequestRate offeredRate(MonotonicTime now);
    [[nodiscard]] RequestRate admittedRate(MonotonicTime now);

    /// \brief Whether any request arrived in the window.
    [[nodiscard]] bool hasTraffic(MonotonicTime now);

private:
    struct Slice
    {
        std::uint32_t offered = 0;
        std::uint32_t admitted = 0;
    };

    [[nodiscard]] std::int64_t sliceNumber(MonotonicTime time) const;
    [[nodiscard]] Slice &slice(std::int64_t number);
    void advance(MonotonicTime now);
    [[nodiscard]] RequestRate recentRate(std::uint32_t Slice::*count, MonotonicTime now);

    Microseconds m_sliceLength;
    std::vector<Slice> m_slices;
    std::int64_t m_current; ///< number of the slice that is being filled
    std::uint64_t m_offered = 0;
    std::uint64_t m_admitted = 0;
};

} // namespace dandeliondock
