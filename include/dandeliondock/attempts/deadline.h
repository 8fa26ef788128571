#pragma once

#include <dandeliondock/core/units.h>

#include <absl/strings/string_view.h>

#include <optional>

namespace dandeliondock {

/// \brief Request header with the time that remains until the caller's deadline, in ms.
inline constexpr absl::string_view deadlineHeader = "X-Deadline-Ms";

/// \brief Time after which all work on a request ends.
///
/// \remark An immutable value.
class Deadline
{
public:
    /// \brief Returns the deadline from the caller's header, bounded by the route's timeout. A header that is not a
    /// number is ignored.
    [[nodiscard]] static Deadline fromHeader(std::optional<absl::string_view> header, Milliseconds routeTimeout,
                                             MonotonicTime now);

    [[nodiscard]] MonotonicTime at() const noexcept { return m_at; }

    /// \brief Returns the remaining time; zero once the deadline has passed.
    [[nodiscard]] Microseconds remaining(MonotonicTime now) const;

    [[nodiscard]] bool hasPassed(MonotonicTime now) const noexcept { return now >= m_at; }

    /// \brief Returns the header value to forward: the remaining time, rounded down.
    [[nodiscard]] Milliseconds headerValue(MonotonicTime now) const;

private:
    explicit Deadline(MonotonicTime at) : m_at(at) {}

    MonotonicTime m_at;
};

} // namespace dandeliondock
