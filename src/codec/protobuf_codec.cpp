#include <dandeliondock/codec/protobuf_codec.h>

#include <google/protobuf/util/json_util.h>

namespace dandeliondock {

absl::Status parseJson(absl::string_view json, ErrorKind kind, absl::string_view what,
                       google::protobuf::Message &message)
{
    const std::string text(json);
    const auto status = google::protobuf::util::JsonStringToMessage(text, &message);
    if (status.ok())
        return absl::OkStatus();
    return makeError(kind, absl::StrCat(what, ": ", std::string(status.message())));
}

std::string printJson(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string json;
    const auto status = google::protobuf::util::MessageToJsonString(message, &json, options);
    return status.ok() ? json : std::string();
}

} // namespace dandeliondock
