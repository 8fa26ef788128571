#pragma once

#include <dandeliondock/core/error.h>

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <set>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief Collects every error of a settings file. One thread at a time.
class SettingsErrors
{
public:
    /// \brief Records an error; only the first one of a key is kept, because later ones follow from it.
    void add(const std::string &key, absl::string_view value, absl::string_view remedy);

    /// \brief Records an error unless \c holds.
    void require(bool holds, const std::string &key, absl::string_view value, absl::string_view remedy);

    /// \brief InvalidSettings with every error, one a line; OK without errors.
    [[nodiscard]] absl::Status status() const;

private:
    std::set<std::string> m_keys;
    std::vector<std::string> m_errors;
};

} // namespace dandeliondock
