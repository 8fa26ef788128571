#pragma once

#include <dandeliondock/core/error.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <google/protobuf/message.h>

#include <string>

namespace dandeliondock {

/// \brief Parses a message from its binary form; an error of \c kind names \c what. Thread-safe.
template <typename Message>
[[nodiscard]] absl::StatusOr<Message> parseMessage(absl::string_view bytes, ErrorKind kind, absl::string_view what)
{
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(kind, absl::StrCat(what, " is not a ", Message::descriptor()->name()));
    return message;
}

/// \brief Parses a message from JSON; unknown fields and wrong types are errors that name them. Thread-safe.
[[nodiscard]] absl::Status parseJson(absl::string_view json, ErrorKind kind, absl::string_view what,
                                     google::protobuf::Message &message);

/// \brief The JSON form of a message with the schema's own field names. Thread-safe.
[[nodiscard]] std::string printJson(const google::protobuf::Message &message);

} // namespace dandeliondock
