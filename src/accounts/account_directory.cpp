#include <dandeliondock/accounts/account_directory.h>
#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/core/error.h>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace dandeliondock {

namespace {

constexpr std::size_t maxAccountNameLength = 256;
constexpr std::size_t maxRegionNameLength = 128; // as for the regions of a route

absl::Status invalidAccount(const AccountName &name, absl::string_view reason)
{
    return makeError(ErrorKind::InvalidRow, absl::StrCat("client account \"", name.value(), "\": ", reason));
}

// The name is sent as the value of a header, in which control characters and outer blanks do not survive.
bool isValidAccountName(absl::string_view name)
{
    return name.size() <= maxAccountNameLength && absl::StripAsciiWhitespace(name) == name
           && std::none_of(name.begin(), name.end(),
                           [](char c) { return absl::ascii_iscntrl(static_cast<unsigned char>(c)); });
}

bool isValidRegion(const RegionName &region)
{
    const std::string &name = region.value();
    return !name.empty() && name.size() <= maxRegionNameLength && std::all_of(name.begin(), name.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
    });
}

bool isValidAmount(double amount)
{
    return std::isfinite(amount) && amount >= 0 && amount <= maxMessageCount;
}

} // namespace

absl::StatusOr<AccountDirectory> AccountDirectory::create(std::vector<ClientAccount> accounts)
{
    AccountDirectory directory;
    directory.m_accounts = std::move(accounts);
    absl::flat_hash_set<AccountName> names;
    for (std::size_t index = 0; index < directory.m_accounts.size(); ++index) {
        const ClientAccount &account = directory.m_accounts[index];
        if (account.name.value().empty())
            return invalidAccount(account.name, "the name must not be empty");
        if (!isValidAccountName(account.name.value()))
            return invalidAccount(account.name, absl::StrCat("the name must have at most ", maxAccountNameLength,
                                                             " bytes, no control characters and no outer blanks"));
        if (!names.insert(account.name).second)
            return invalidAccount(account.name, "the name must be given once");
        if (!isValidAmount(account.quota.rate.value()) || !isValidAmount(account.quota.burst.value()))
            return invalidAccount(account.name, absl::StrCat("rate and burst must be from 0 to ", maxMessageCount));
        if (!std::all_of(account.allowedRegions.begin(), account.allowedRegions.end(), isValidRegion))
            return invalidAccount(account.name, "each of allowed_regions must be a name of a region");
        if (absl::Status status = directory.addKeys(index); !status.ok())
            return status;
    }
    return directory;
}

absl::Status AccountDirectory::addKeys(std::size_t account)
{
    const ClientAccount &added = m_accounts[account];
    for (std::size_t index = 0; index < added.keys.size(); ++index) {
        const ApiKey &key = added.keys[index];
        if (key.isEmpty())
            return invalidAccount(added.name, "a key must not be empty");
        std::vector<KeyOwner> &bucket = m_keyBuckets[key.bucket()];
        for (const KeyOwner &other : bucket) {
            if (m_accounts[other.account].keys[other.key].matches(key))
                return invalidAccount(added.name, absl::StrCat("a key is held twice, also by account \"",
                                                               m_accounts[other.account].name.value(), "\""));
        }
        bucket.push_back({account, index});
    }
    return absl::OkStatus();
}

const ClientAccount *AccountDirectory::find(absl::string_view key) const
{
    const auto bucket = m_keyBuckets.find(ApiKey::bucketOf(key));
    if (bucket == m_keyBuckets.end())
        return nullptr;
    for (const KeyOwner &owner : bucket->second) {
        const ClientAccount &account = m_accounts[owner.account];
        if (account.keys[owner.key].matches(key))
            return &account;
    }
    return nullptr;
}

} // namespace dandeliondock
