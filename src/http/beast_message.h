#pragma once

#include <dandeliondock/http/message.h>

#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace dandeliondock::impl {

/// \brief Buffer space for reading a body; Beast reads only 512 bytes at a time into a buffer without free space.
inline constexpr std::size_t bodyReadSize = 16'384;
/// \brief Buffer space for reading the head of a message; most requests are shorter.
inline constexpr std::size_t headReadSize = 2'048;

/// \brief Smallest limit on the bytes that wait to be parsed. The parser consumes a body as it arrives, but waits for
/// the end of the line of a chunk and of the trailers, whose length nothing else limits.
inline constexpr std::size_t minUnparsedLimit = 131'072;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/// \brief Reserves buffer space for the rest of a body whose head was read, unless the buffer already holds it.
template <typename Parser>
void reserveForBody(const Parser &parser, beast::flat_buffer &buffer)
{
    const auto remaining = parser.content_length_remaining();
    if (!remaining || *remaining > buffer.size())
        buffer.reserve(bodyReadSize);
}

/// \brief Replaces an empty buffer by one of headReadSize, so that idle connections hold no long buffers. A buffer that
/// holds bytes is left as it is.
inline void shrinkBuffer(beast::flat_buffer &buffer)
{
    if (buffer.size() > 0 || buffer.capacity() <= headReadSize)
        return;
    buffer = beast::flat_buffer(buffer.max_size());
    buffer.reserve(headReadSize);
}

/// \brief Returns the memory of a head that was read; see dandeliondock::headMemory().
template <bool IsRequest>
[[nodiscard]] ByteCount headMemoryOf(const beast::http::header<IsRequest> &head)
{
    std::size_t lines = 0;
    std::size_t text = 0;
    for (const auto &line : head) {
        ++lines;
        text += line.name_string().size() + line.value().size();
    }
    return headMemory(lines, ByteCount(text));
}

/// \brief Appends the header lines to \c to in order.
template <bool IsRequest>
void copyHeaders(const beast::http::header<IsRequest> &from, HttpHeaders &to)
{
    for (const auto &line : from)
        to.add(absl::string_view(line.name_string().data(), line.name_string().size()),
               absl::string_view(line.value().data(), line.value().size()));
}

/// \brief Copies the header lines except Content-Length, which is set from the length of the body.
template <bool IsRequest>
void copyHeaders(const HttpHeaders &from, beast::http::header<IsRequest> &to)
{
    for (const HttpHeader &line : from.lines()) {
        if (!beast::iequals(line.name, "Content-Length"))
            to.insert(line.name, line.value);
    }
}

} // namespace dandeliondock::impl
