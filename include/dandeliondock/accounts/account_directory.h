#pragma once

#include <dandeliondock/accounts/client_account.h>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstddef>
#include <utility>
#include <vector>

namespace dandeliondock {

/// \brief The client accounts of one configuration, found by key.
///
/// \remark Immutable; every method is thread-safe.
class AccountDirectory
{
public:
    /// \brief A directory without accounts: requests need no key.
    AccountDirectory() = default;

    /// \brief Builds a directory.
    /// \return InvalidRow, with the name of the account, for an empty or repeated name or key, a name that cannot be
    /// the value of a header, a quota whose rate or burst is negative, not finite or above maxMessageCount, or a
    /// malformed name of a region.
    [[nodiscard]] static absl::StatusOr<AccountDirectory> create(std::vector<ClientAccount> accounts);

    /// \brief Whether the configuration has accounts, so that requests need a key.
    [[nodiscard]] bool isEmpty() const noexcept { return m_accounts.empty(); }

    /// \brief Returns the account that holds a key, or null. Valid as long as the directory.
    [[nodiscard]] const ClientAccount *find(absl::string_view key) const;

    [[nodiscard]] const std::vector<ClientAccount> &accounts() const noexcept { return m_accounts; }

private:
    struct KeyOwner
    {
        std::size_t account = 0; ///< index in m_accounts
        std::size_t key = 0;     ///< index in the keys of the account
    };

    [[nodiscard]] absl::Status addKeys(std::size_t account);

    std::vector<ClientAccount> m_accounts;
    absl::flat_hash_map<std::size_t, std::vector<KeyOwner>> m_keyBuckets;
};

} // namespace dandeliondock
