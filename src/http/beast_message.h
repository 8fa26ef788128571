#pragma once

#include <dandeliondock/http/message.h>

#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace dandeliondock::impl {

/// \brief Bytes that one read of a long message may take. Beast reads 512 bytes at a time into a buffer without room.
inline constexpr std::size_t longReadSize = 16'384;
/// \brief The same for the head of a message; most requests are shorter.
inline constexpr std::size_t headReadSize = 2'048;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/// \brief Makes room for the rest of a body whose head was read, if it is not in the buffer already.
template <typename Parser>
void reserveForBody(const Parser &parser, beast::flat_buffer &buffer)
{
    const auto left = parser.content_length_remaining();
    if (!left || *left > buffer.size())
        buffer.reserve(longReadSize);
}

/// \brief Gives a long buffer back, so that idle connections hold none. Bytes that are in it stay.
inline void releaseLongBuffer(beast::flat_buffer &buffer)
{
    if (buffer.size() > 0 || buffer.capacity() <= headReadSize)
        return;
    buffer = {};
    buffer.reserve(headReadSize);
}

/// \brief Copies the header lines in their order.
template <bool IsRequest>
void copyHeaders(const beast::http::header<IsRequest> &from, HttpHeaders &to)
{
    for (const auto &line : from)
        to.add(absl::string_view(line.name_string().data(), line.name_string().size()),
               absl::string_view(line.value().data(), line.value().size()));
}

/// \brief Copies the header lines except Content-Length, which the length of the body sets.
template <bool IsRequest>
void copyHeaders(const HttpHeaders &from, beast::http::header<IsRequest> &to)
{
    for (const HttpHeader &line : from.lines()) {
        if (!beast::iequals(line.name, "Content-Length"))
            to.insert(line.name, line.value);
    }
}

} // namespace dandeliondock::impl
