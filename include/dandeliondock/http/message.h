#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/http/body.h>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief Memory of one header line regardless of its length, with its copies: two objects in lists that grow by
/// doubling and a node in the message that is sent.
inline constexpr std::uint64_t headerLineMemory = 320;
/// \brief Number of copies of the text of a header line that exist at once.
inline constexpr std::uint64_t headerTextCopies = 3;

/// \brief Returns the memory of a head and of its copies while its message is processed. Short lines take many times
/// their length. Thread-safe.
/// \param text bytes of all names and values.
[[nodiscard]] constexpr ByteCount headMemory(std::size_t lines, ByteCount text) noexcept
{
    return ByteCount(lines * headerLineMemory + text.value() * headerTextCopies);
}

/// \brief One header line.
struct HttpHeader
{
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;
};

/// \brief Header lines in order; names are case-insensitive and may repeat.
///
/// \remark Const methods are thread-safe while no thread modifies the object.
class HttpHeaders
{
public:
    void add(absl::string_view name, absl::string_view value);

    /// \brief Replaces all lines of a name by one.
    void set(absl::string_view name, absl::string_view value);

    void remove(absl::string_view name);

    /// \brief Removes every line for whose name \c isUnwanted returns true.
    void removeIf(bool (*isUnwanted)(absl::string_view name));

    /// \brief Returns the first value of a name; empty when the name is absent.
    [[nodiscard]] std::optional<absl::string_view> first(absl::string_view name) const;

    [[nodiscard]] const std::vector<HttpHeader> &lines() const noexcept { return m_lines; }

    /// \brief Returns the memory of these lines and of their copies on the way through a process; see headMemory().
    [[nodiscard]] ByteCount memory() const noexcept;

private:
    std::vector<HttpHeader> m_lines;
};

/// \brief Removes the hop-by-hop headers and those that the Connection header lists. Thread-safe for distinct objects.
void removeHopByHopHeaders(HttpHeaders &headers);

/// \brief Whether a part of the head of a response contains the status line of another response. A peer that breaks off
/// within the head of a response and sends another one produces such a head. Thread-safe.
[[nodiscard]] bool containsStatusLine(absl::string_view text);

/// \brief Whether a response with this status is a final one. Thread-safe.
[[nodiscard]] constexpr bool isFinalStatus(int status) noexcept
{
    return status >= 200 && status <= 599;
}

/// \brief Whether a response with this status precedes the final one. The status 101 does not: it ends the use of HTTP
/// on a connection, which no request of this project asks for. Thread-safe.
[[nodiscard]] constexpr bool isInterimStatus(int status) noexcept
{
    return status >= 100 && status <= 199 && status != 101;
}

/// \brief A request with its complete body; \c target is the raw path and query as received.
struct HttpRequest
{
    std::string method;
    std::string target;
    HttpHeaders headers;
    HttpBody body;
};

/// \brief A response with its complete body.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    bool isUrgent = false; ///< written at once, regardless of its size
};

} // namespace dandeliondock
