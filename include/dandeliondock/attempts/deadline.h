#pragma once

#include <dandeliondock/core/units.h>

#include <absl/strings/string_view.h>

#include <optional>

namespace dandeliondock {

/// \brief Header with the time that a caller leaves for a request.
inline constexpr absl::string_view deadlineHeader = "X-Deadline-Ms";

/// \brief The time after which nothing is done for a request any more.
///
/// \remark An immutable value.
class Deadline
{
public:
    /// \brief The caller's remaining time, bounded by the route's timeout. A header that is no number is ignored.
    [[nodiscard]] static Deadline fromHeader(std::optional<absl::string_view> header, Milliseconds routeTimeout,
                                             MonotonicTime now);

    [[nodiscard]] MonotonicTime at() const noexcept { return m_at; }

    /// \brief Time that is left; zero once passed.
    [[nodiscard]] Microseconds remaining(MonotonicTime now) const;

    [[nodiscard]] bool hasPassed(MonotonicTime now) const noexcept { return now >= m_at; }

    /// \brief Value of the header to pass on, rounded down.
    [[nodiscard]] Milliseconds headerValue(MonotonicTime now) const;

private:
    explicit Deadline(MonotonicTime at) : m_at(at) {}

    MonotonicTime m_at;
};

} // namespace dandeliondock
