#pragma once

#include <dandeliondock/accounts/account_directory.h>
#include <dandeliondock/accounts/client_account.h>

#include <absl/strings/string_view.h>

#include <vector>

namespace dandeliondock {

/// \brief Result of checking the key of a request.
enum class KeyVerdict {
    NotNeeded,   ///< the configuration has no accounts, or the route is exempt
    Accepted,    ///< the key belongs to an account
    Missing,     ///< no key, more than one, or no bearer key
    Unknown,     ///< the key belongs to no account
    Unconfirmed, ///< the known keys may have been withdrawn
};

/// \brief Returns the name of a verdict for metrics and logs. Thread-safe.
[[nodiscard]] const char *keyVerdictName(KeyVerdict verdict) noexcept;

/// \brief The account of a request, and what is done with the request.
struct Authentication
{
    KeyVerdict verdict = KeyVerdict::NotNeeded;
    const ClientAccount *account = nullptr; ///< of an accepted key; valid as long as the directory
    bool removesCredentials = false;        ///< the credentials hold a key and must not be passed on

    /// \brief Whether the request may be forwarded.
    [[nodiscard]] bool isAdmitted() const noexcept
    {
        return verdict == KeyVerdict::NotNeeded || verdict == KeyVerdict::Accepted;
    }
};

/// \brief What a request has to satisfy.
struct KeyRequirement
{
    bool isExempt = false;    ///< the route needs no key
    bool isConfirmed = false; ///< the directory is recent enough for its keys to be accepted
};

/// \brief Decides whether a request may be forwarded and for which account.
///
/// A request of an exempt route has no account, whatever key it carries. Only one set of credentials is accepted, with
/// the scheme Bearer in any case.
///
/// \param credentials the values of all authorization headers of the request.
///
/// \remark Thread-safe.
[[nodiscard]] Authentication authenticate(const AccountDirectory &directory, const KeyRequirement &requirement,
                                          const std::vector<absl::string_view> &credentials);

} // namespace dandeliondock
