#pragma once

#include "beast_message.h"

#include <dandeliondock/http/body.h>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace dandeliondock::impl {

/// \brief Reserves space for \c needed bytes of a body. An announced length is not reserved at once but halved as long
/// as the bytes fit, so that its last copy, from half of the length, needs no more memory than the complete body.
/// \param announced announced length, at least \c needed; 0 when it is unknown.
inline void growBody(std::string &body, std::size_t needed, std::size_t announced)
{
    constexpr std::size_t minCapacity = 1'024;
    if (needed <= body.capacity())
        return;
    std::size_t capacity = announced > 0 ? announced : std::bit_ceil(std::max(needed, minCapacity));
    while (capacity / 2 >= std::max(needed, minCapacity))
        capacity /= 2;
    body.reserve(capacity);
}

/// \brief Memory of an incomplete body, with the copy that is made if the next bytes make it grow.
/// \param bound announced length, or the limit of the body if it is unknown.
inline std::size_t memoryOfBody(const std::string &body, std::uint64_t bound)
{
    const bool mayGrow = body.capacity() < bound && body.capacity() - body.size() < bodyReadSize;
    return mayGrow ? 2 * body.size() : body.size();
}

/// \brief Body of a message that is received. In contrast to http::string_body, it reserves no memory for bytes that
/// were announced and have not arrived.
struct ReceivedBody
{
    using value_type = std::string;

    static std::uint64_t size(const value_type &body) { return body.size(); }

    // Beast's names
    class reader
    {
    public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields> & /*header*/, value_type &body) : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, error_code &error)
        {
            m_announced = static_cast<std::size_t>(length.value_or(0));
            error = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, error_code &error)
        {
            const std::size_t size = beast::buffer_bytes(buffers);
            growBody(m_body, m_body.size() + size, m_announced);
            for (const auto buffer : beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
            error = {};
            return size;
        }

        void finish(error_code &error) { error = {}; }

    private:
        value_type &m_body;
        std::size_t m_announced = 0;
    };
};

/// \brief Body of a message that is sent; it shares the bytes of an HttpBody.
struct SharedBody
{
    using value_type = HttpBody;

    static std::uint64_t size(const value_type &body) { return body.size(); }

    class writer
    {
    public:
        using const_buffers_type = asio::const_buffer;

        template <bool IsRequest, typename Fields>
        writer(const http::header<IsRequest, Fields> & /*header*/, const value_type &body) : m_body(body)
        {
        }

        void init(error_code &error) { error = {}; }

        boost::optional<std::pair<const_buffers_type, bool>> get(error_code &error)
        {
            error = {};
            return {{const_buffers_type{m_body.text().data(), m_body.size()}, false}};
        }

    private:
        const value_type &m_body;
    };
};

} // namespace dandeliondock::impl
