#pragma once

#include <absl/strings/string_view.h>

#include <optional>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief One header line.
struct HttpHeader
{
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;
};

/// \brief Header lines in their order; names compare without case and may repeat.
///
/// \remark Const methods are thread-safe on an object that no thread changes.
class HttpHeaders
{
public:
    void add(absl::string_view name, absl::string_view value);

    /// \brief Replaces every line of a name by one.
    void set(absl::string_view name, absl::string_view value);

    void remove(absl::string_view name);

    /// \brief Removes every line whose name \c isUnwanted tells.
    void removeIf(bool (*isUnwanted)(absl::string_view name));

    /// \brief The first value of a name; empty when there is none.
    [[nodiscard]] std::optional<absl::string_view> first(absl::string_view name) const;

    [[nodiscard]] const std::vector<HttpHeader> &lines() const noexcept { return m_lines; }

private:
    std::vector<HttpHeader> m_lines;
};

/// \brief Removes the headers that belong to one connection, and those that Connection names. Thread-safe.
void removeHopByHopHeaders(HttpHeaders &headers);

/// \brief A request; \c target is the raw path and query as received.
struct HttpRequest
{
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
};

/// \brief A response whose body is whole.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

} // namespace dandeliondock
