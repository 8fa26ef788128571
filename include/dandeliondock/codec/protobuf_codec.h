#pragma once

#include <dandeliondock/core/error.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <google/protobuf/message.h>

#include <string>

namespace dandeliondock {

/// \brief Parses a message from its binary form. Thread-safe.
/// \return An error of \c kind whose text begins with \c what if the bytes are not a valid message.
template <typename Message>
[[nodiscard]] absl::StatusOr<Message> parseMessage(absl::string_view bytes, ErrorKind kind, absl::string_view what)
{
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(kind, absl::StrCat(what, " is not a ", Message::descriptor()->name()));
    return message;
}

/// \brief Parses a message from JSON. Thread-safe.
/// \return An error of \c kind whose text consists of \c what and the reason, such as an unknown field or a wrong type.
[[nodiscard]] absl::Status parseJson(absl::string_view json, ErrorKind kind, absl::string_view what,
                                     google::protobuf::Message &message);

/// \brief Returns the JSON form of a message, with the field names of the schema; empty on an error. Thread-safe.
[[nodiscard]] std::string printJson(const google::protobuf::Message &message);

} // namespace dandeliondock
