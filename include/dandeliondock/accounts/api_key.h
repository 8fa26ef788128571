#pragma once

#include <absl/strings/string_view.h>

#include <cstddef>
#include <string>
#include <utility>

namespace dandeliondock {

/// \brief Secret key of a client account.
///
/// Has no stream operator and no ordering, so that it can neither be logged by accident nor be compared in a time that
/// depends on its contents.
///
/// \remark Immutable; every method is thread-safe.
class ApiKey
{
public:
    explicit ApiKey(std::string value) : m_value(std::move(value)) {}

    [[nodiscard]] bool isEmpty() const noexcept { return m_value.empty(); }

    /// \brief Whether \c presented equals the key. The time depends on the lengths only.
    [[nodiscard]] bool matches(absl::string_view presented) const noexcept;
    [[nodiscard]] bool matches(const ApiKey &other) const noexcept { return matches(other.m_value); }

    /// \brief Value by which keys are grouped for the search; not unique, and different in each process.
    [[nodiscard]] std::size_t bucket() const noexcept { return bucketOf(m_value); }
    [[nodiscard]] static std::size_t bucketOf(absl::string_view presented) noexcept;

private:
    std::string m_value;
};

} // namespace dandeliondock
