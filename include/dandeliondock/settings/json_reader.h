#pragma once

#include <dandeliondock/settings/settings_errors.h>

#include <absl/strings/string_view.h>

#include <google/protobuf/message.h>

#include <set>
#include <string>

namespace dandeliondock {

/// \brief Keys that a settings file gives, with dots between the levels.
using GivenKeys = std::set<std::string>;

/// \brief Fills \c message from JSON and records every unknown key and wrong type instead of stopping at the first.
///
/// \remark Thread-safe for distinct arguments. Keys are the schema's field names.
/// \return The keys that the text gives, right or wrong.
GivenKeys readSettingsJson(const std::string &json, google::protobuf::Message &message, SettingsErrors &errors);

} // namespace dandeliondock
