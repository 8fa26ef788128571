#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace dandeliondock {

/// \brief A value of type \c Value that cannot be mixed up with another id or unit.
///
/// \remark Instances are plain values; concurrent const access is safe.
template <typename Tag, typename Value>
class StrongType
{
public:
    using ValueType = Value;

    constexpr StrongType() = default;
    constexpr explicit StrongType(Value value) noexcept(noexcept(Value(std::move(value)))) : m_value(std::move(value))
    {
    }

    /// \brief Returns the wrapped value. Thread-safe on a const object.
    [[nodiscard]] constexpr const Value &value() const noexcept { return m_value; }

    friend constexpr auto operator<=>(const StrongType &, const StrongType &) = default;

    friend std::ostream &operator<<(std::ostream &out, const StrongType &item) { return out << item.m_value; }

    template <typename H>
    friend H AbslHashValue(H state, const StrongType &item)
    {
        return H::combine(std::move(state), item.m_value);
    }

private:
    Value m_value{};
};

} // namespace dandeliondock

template <typename Tag, typename Value>
struct std::hash<dandeliondock::StrongType<Tag, Value>>
{
    std::size_t operator()(const dandeliondock::StrongType<Tag, Value> &item) const noexcept
    {
        return std::hash<Value>{}(item.value());
    }
};
