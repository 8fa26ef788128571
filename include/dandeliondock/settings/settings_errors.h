#pragma once

#include <dandeliondock/core/error.h>

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <set>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief Collects all errors of a settings file. Not thread-safe; used by one thread at a time.
class SettingsErrors
{
public:
    /// \brief Records that the value of a key is wrong; \c detail says what the value must be. Only the first error of
    /// a key is kept, because later ones follow from it.
    void add(const std::string &key, absl::string_view value, absl::string_view detail);

    /// \brief Records an error if \c condition is false.
    void require(bool condition, const std::string &key, absl::string_view value, absl::string_view detail);

    /// \brief Returns InvalidSettings with all errors, one per line; OK if there are none.
    [[nodiscard]] absl::Status status() const;

private:
    std::set<std::string> m_keys;
    std::vector<std::string> m_errors;
};

} // namespace dandeliondock
