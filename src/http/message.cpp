#include <dandeliondock/http/message.h>

#include <absl/strings/match.h>

#include <algorithm>

namespace dandeliondock {

void HttpHeaders::add(absl::string_view name, absl::string_view value)
{
    m_lines.push_back({std::string(name), std::string(value)});
}

void HttpHeaders::set(absl::string_view name, absl::string_view value)
{
    remove(name);
    add(name, value);
}

void HttpHeaders::remove(absl::string_view name)
{
    std::erase_if(m_lines, [name](const HttpHeader &line) { return absl::EqualsIgnoreCase(line.name, name); });
}

std::optional<absl::string_view> HttpHeaders::first(absl::string_view name) const
{
    const auto found = std::find_if(m_lines.begin(), m_lines.end(),
                                    [name](const HttpHeader &line) { return absl::EqualsIgnoreCase(line.name, name); });
    if (found == m_lines.end())
        return std::nullopt;
    return found->value;
}

} // namespace dandeliondock
