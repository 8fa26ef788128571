#include <dandeliondock/accounts/account_directory.h>
#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <functional>
#include <limits>
#include <map>
#include <string>

namespace dandeliondock::testing {
namespace {

ClientAccount account(const std::string &name, const std::vector<std::string> &keys)
{
    ClientAccount created;
    created.name = AccountName(name);
    for (const std::string &key : keys)
        created.keys.emplace_back(key);
    return created;
}

} // namespace

// Guards against a key that opens another account, and against one that is accepted because it begins like a known one
// or shares its bucket.
TEST_CASE("a key finds the account that holds it and no other text finds one", "[accounts]")
{
    rc::prop("the directory agrees with a map", [](const std::map<std::string, std::string> &ownerOfKey) {
        std::map<std::string, std::vector<std::string>> keysOfOwner;
        for (const auto &[key, owner] : ownerOfKey) {
            if (!key.empty())
                keysOfOwner[absl::StrCat("a", owner.size())].push_back(key);
        }
        std::vector<ClientAccount> accounts;
        for (const auto &[owner, keys] : keysOfOwner)
            accounts.push_back(account(owner, keys));
        const auto directory = AccountDirectory::create(std::move(accounts));
        RC_ASSERT(directory.ok());
        for (const auto &[owner, keys] : keysOfOwner) {
            for (const std::string &key : keys) {
                const ClientAccount *found = directory->find(key);
                RC_ASSERT(found != nullptr);
                RC_ASSERT(found->name.value() == owner);
            }
        }
        const auto other = *rc::gen::arbitrary<std::string>();
        RC_ASSERT((directory->find(other) != nullptr) == (!other.empty() && ownerOfKey.contains(other)));
    });
    const auto directory = AccountDirectory::create({account("a", {"key-1"})});
    REQUIRE(directory.ok());
    for (const char *text : {"", "key-", "key-1 ", "key-11", "KEY-1", "key-2"})
        CHECK(directory->find(text) == nullptr);
    CHECK(directory->find(std::string("key-1\0", 6)) == nullptr);
    CHECK(AccountDirectory().find("") == nullptr);
}

// Guards against a configuration in which it is open whose key a request carries, and against a name that injects
// headers into the requests to targets.
TEST_CASE("an odd account is refused with an error that names the account but not its keys", "[accounts]")
{
    const double infinity = std::numeric_limits<double>::infinity();
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    const std::vector<std::function<void(ClientAccount &)>> faults = {
            [](ClientAccount &odd) { odd.keys.emplace_back(""); },
            [](ClientAccount &odd) { odd.keys.emplace_back("secret-2"); },
            [](ClientAccount &odd) { odd.keys.emplace_back("secret-1"); },
            [](ClientAccount &odd) { odd.name = AccountName("odd\r\nX-Other: 1"); },
            [](ClientAccount &odd) { odd.name = AccountName(" odd"); },
            [](ClientAccount &odd) { odd.name = AccountName("odd" + std::string(1'000, 'n')); },
            [](ClientAccount &odd) { odd.quota.rate = RequestRate(-0.001); },
            [](ClientAccount &odd) { odd.quota.burst = RequestAmount(-1); },
            [infinity](ClientAccount &odd) { odd.quota.rate = RequestRate(infinity); },
            [notANumber](ClientAccount &odd) { odd.quota.rate = RequestRate(notANumber); },
            [notANumber](ClientAccount &odd) { odd.quota.burst = RequestAmount(notANumber); },
            [](ClientAccount &odd) { odd.quota.burst = RequestAmount(maxMessageCount * 1.01); },
            [](ClientAccount &odd) { odd.allowedRegions.emplace_back(""); },
            [](ClientAccount &odd) { odd.allowedRegions.emplace_back("no region"); },
    };
    for (std::size_t index = 0; index < faults.size(); ++index) {
        INFO("fault " << index);
        ClientAccount odd = account("odd", {"secret-1"});
        faults[index](odd);
        const auto directory = AccountDirectory::create({account("good", {"secret-2"}), odd});
        REQUIRE_FALSE(directory.ok());
        CHECK(errorKind(directory.status()) == ErrorKind::InvalidRow);
        CHECK(absl::StrContains(directory.status().message(), "odd"));
        CHECK_FALSE(absl::StrContains(directory.status().message(), "secret"));
    }
    CHECK_FALSE(AccountDirectory::create({account("", {"secret-1"})}).ok());
    CHECK_FALSE(AccountDirectory::create({account("a", {"secret-1"}), account("a", {"secret-2"})}).ok());
}

TEST_CASE("an account may have no keys, many keys and every valid quota", "[accounts]")
{
    ClientAccount largest = account("b", {"1", "2", "3"});
    largest.quota = {RequestRate(maxMessageCount), RequestAmount(maxMessageCount)};
    largest.allowedRegions.emplace_back("east-1");
    const auto directory = AccountDirectory::create({account("a", {}), largest});
    REQUIRE(directory.ok());
    CHECK_FALSE(directory->isEmpty());
    CHECK(directory->find("2") == &directory->accounts()[1]);
    CHECK(AccountDirectory().isEmpty());
}

} // namespace dandeliondock::testing
