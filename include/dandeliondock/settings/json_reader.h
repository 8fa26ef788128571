#pragma once

#include <dandeliondock/settings/settings_errors.h>

#include <absl/strings/string_view.h>

#include <google/protobuf/message.h>

#include <set>
#include <string>

namespace dandeliondock {

/// \brief Keys that are present in a settings file, with dots between the levels, such as "target.id".
using GivenKeys = std::set<std::string>;

/// \brief Fills \c message from JSON. Records an error for every unknown key and wrong type and continues.
///
/// \remark Thread-safe for distinct arguments. Keys are the schema's field names.
/// \return All keys that are present in the text, including those with errors.
GivenKeys readSettingsJson(const std::string &json, google::protobuf::Message &message, SettingsErrors &errors);

} // namespace dandeliondock
