#pragma once

#include <dandeliondock/http/message.h>

#include <utility>

#include <boost/beast/http.hpp>

namespace dandeliondock::impl {

namespace beast = boost::beast;

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
