#include <dandeliondock/accounts/api_key.h>

#include <absl/hash/hash.h>

namespace dandeliondock {

bool ApiKey::matches(absl::string_view presented) const noexcept
{
    if (presented.size() != m_value.size())
        return false;
    unsigned difference = 0;
    for (std::size_t index = 0; index < m_value.size(); ++index)
        difference |= static_cast<unsigned char>(m_value[index]) ^ static_cast<unsigned char>(presented[index]);
    return difference == 0;
}

std::size_t ApiKey::bucketOf(absl::string_view presented) noexcept
{
    return absl::Hash<absl::string_view>{}(presented);
}

} // namespace dandeliondock
