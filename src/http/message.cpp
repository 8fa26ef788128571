#include <dandeliondock/http/message.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace dandeliondock {

namespace {

constexpr std::array<absl::string_view, 7> hopByHopNames{
        "Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Expect"};
constexpr absl::string_view proxyPrefix = "Proxy-";

bool isHopByHop(absl::string_view name)
{
    return absl::StartsWithIgnoreCase(name, proxyPrefix)
           || std::any_of(hopByHopNames.begin(), hopByHopNames.end(),
                          [name](absl::string_view known) { return absl::EqualsIgnoreCase(known, name); });
}

std::vector<std::string> listedInConnection(const HttpHeaders &headers)
{
    std::vector<std::string> names;
    for (const HttpHeader &line : headers.lines()) {
        if (!absl::EqualsIgnoreCase(line.name, "Connection"))
            continue;
        for (const absl::string_view part : absl::StrSplit(line.value, ','))
            names.emplace_back(absl::StripAsciiWhitespace(part));
    }
    return names;
}

} // namespace

void removeHopByHopHeaders(HttpHeaders &headers)
{
    for (const std::string &name : listedInConnection(headers))
        headers.remove(name);
    headers.removeIf(&isHopByHop);
}

bool containsStatusLine(absl::string_view text)
{
    constexpr absl::string_view protocol = "HTTP/";
    constexpr absl::string_view rest = "1.1 200"; // each digit stands for any digit
    for (std::size_t found = text.find(protocol); found != absl::string_view::npos;
         found = text.find(protocol, found + 1)) {
        const absl::string_view candidate = text.substr(found + protocol.size(), rest.size());
        const bool isStatusLine =
                std::equal(candidate.begin(), candidate.end(), rest.begin(), rest.end(), [](char actual, char pattern) {
                    return absl::ascii_isdigit(static_cast<unsigned char>(pattern))
                                   ? absl::ascii_isdigit(static_cast<unsigned char>(actual))
                                   : actual == pattern;
                });
        if (isStatusLine)
            return true;
    }
    return false;
}

void HttpHeaders::add(absl::string_view name, absl::string_view value)
{
    m_lines.push_back({std::string(name), std::string(value)});
}

ByteCount HttpHeaders::memory() const noexcept
{
    std::size_t text = 0;
    for (const HttpHeader &line : m_lines)
        text += line.name.size() + line.value.size();
    return headMemory(m_lines.size(), ByteCount(text));
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

void HttpHeaders::removeIf(bool (*isUnwanted)(absl::string_view name))
{
    std::erase_if(m_lines, [isUnwanted](const HttpHeader &line) { return isUnwanted(line.name); });
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
