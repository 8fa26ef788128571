#include <dandeliondock/settings/settings_errors.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace dandeliondock {

void SettingsErrors::add(const std::string &key, absl::string_view value, absl::string_view detail)
{
    if (m_keys.insert(key).second)
        m_errors.push_back(absl::StrCat("  ", key, " = ", value, ": ", detail));
}

void SettingsErrors::require(bool condition, const std::string &key, absl::string_view value, absl::string_view detail)
{
    if (!condition)
        add(key, value, detail);
}

absl::Status SettingsErrors::status() const
{
    if (m_errors.empty())
        return absl::OkStatus();
    return makeError(ErrorKind::InvalidSettings,
                     absl::StrCat(m_errors.size(), " errors in the settings:\n", absl::StrJoin(m_errors, "\n"), "\n"));
}

} // namespace dandeliondock
