#include <dandeliondock/accounts/authentication.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace dandeliondock {

namespace {

constexpr std::array<const char *, 5> verdictNames = {"key_not_needed", "key_accepted", "key_missing", "key_unknown",
                                                      "keys_unconfirmed"};
constexpr absl::string_view bearerScheme = "Bearer";

struct Credentials
{
    absl::string_view scheme;
    absl::string_view key; ///< empty if there is only one word
};

Credentials parseCredentials(absl::string_view value)
{
    value = absl::StripAsciiWhitespace(value);
    const std::size_t schemeEnd = std::min(value.find(' '), value.size());
    return {value.substr(0, schemeEnd), absl::StripAsciiWhitespace(value.substr(schemeEnd))};
}

// Also finds a key that was sent under another scheme or without one, which must not reach a target either.
bool holdsKey(const AccountDirectory &directory, absl::string_view value)
{
    return directory.find(parseCredentials(value).key) != nullptr
           || directory.find(absl::StripAsciiWhitespace(value)) != nullptr;
}

} // namespace

const char *keyVerdictName(KeyVerdict verdict) noexcept
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

Authentication authenticate(const AccountDirectory &directory, const KeyRequirement &requirement,
                            const std::vector<absl::string_view> &credentials)
{
    if (directory.isEmpty())
        return {};
    if (requirement.isExempt) {
        const bool hasKey = std::any_of(credentials.begin(), credentials.end(),
                                        [&directory](absl::string_view value) { return holdsKey(directory, value); });
        return {KeyVerdict::NotNeeded, nullptr, hasKey};
    }
    if (!requirement.isConfirmed)
        return {KeyVerdict::Unconfirmed, nullptr, true};
    if (credentials.size() != 1)
        return {KeyVerdict::Missing, nullptr, true};
    const Credentials given = parseCredentials(credentials.front());
    if (!absl::EqualsIgnoreCase(given.scheme, bearerScheme) || given.key.empty())
        return {KeyVerdict::Missing, nullptr, true};
    const ClientAccount *account = directory.find(given.key);
    return {account == nullptr ? KeyVerdict::Unknown : KeyVerdict::Accepted, account, true};
}

} // namespace dandeliondock
