#include <dandeliondock/accounts/authentication.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>

namespace dandeliondock::testing {
namespace {

const std::string key = "k3y-of-mill";

AccountDirectory directoryWith(const std::string &accountKey)
{
    ClientAccount account;
    account.name = AccountName("mill");
    account.keys.emplace_back(accountKey);
    auto directory = AccountDirectory::create({account});
    REQUIRE(directory.ok());
    return *std::move(directory);
}

constexpr KeyRequirement needsKey{false, true};
constexpr KeyRequirement exempt{true, true};

KeyVerdict verdictOf(const AccountDirectory &directory, const std::vector<absl::string_view> &credentials)
{
    return authenticate(directory, needsKey, credentials).verdict;
}

} // namespace

TEST_CASE("a bearer key of an account is accepted for that account and removed", "[accounts]")
{
    const AccountDirectory directory = directoryWith(key);
    for (const std::string &value : {"Bearer " + key, "bearer " + key, "BEARER  " + key, "  Bearer " + key + " \t"}) {
        INFO(value);
        const Authentication result = authenticate(directory, needsKey, {value});
        CHECK(result.verdict == KeyVerdict::Accepted);
        CHECK(result.isAdmitted());
        CHECK(result.account == &directory.accounts().front());
        CHECK(result.removesCredentials);
    }
}

// Guards against a request that is forwarded without a valid key because its credentials are odd.
TEST_CASE("credentials other than one bearer key of an account are not accepted", "[accounts]")
{
    const AccountDirectory directory = directoryWith(key);
    CHECK(verdictOf(directory, {}) == KeyVerdict::Missing);
    const std::string bearer = "Bearer " + key;
    CHECK(verdictOf(directory, {bearer, bearer}) == KeyVerdict::Missing);
    CHECK(verdictOf(directory, {bearer, ""}) == KeyVerdict::Missing);
    for (const std::string &value : {std::string(), std::string("Bearer"), std::string("Bearer "), key, "Basic " + key,
                                     "Bearer\t" + key, "Bearer" + key, "Bearer:" + key, "Bear " + key, " " + key}) {
        INFO(value);
        CHECK(verdictOf(directory, {value}) == KeyVerdict::Missing);
    }
    for (const std::string &value :
         {bearer + "x", "Bearer x" + key, "Bearer " + key.substr(1), "Bearer \"" + key + "\"", bearer + ", " + bearer,
          bearer + " " + key, bearer + std::string(1, '\0'), bearer + "\x7f", std::string("Bearer \xff\xfe"),
          "Bearer " + std::string(100'000, 'k')}) {
        INFO(value.substr(0, 100));
        CHECK(verdictOf(directory, {value}) == KeyVerdict::Unknown);
    }
}

// Guards against any text that is accepted although it does not hold the key.
TEST_CASE("no text without the key is accepted and no text with it is passed on from a route that needs one",
          "[accounts]")
{
    const AccountDirectory directory = directoryWith(key);
    rc::prop("arbitrary credentials", [&directory](const std::vector<std::string> &values) {
        std::vector<absl::string_view> credentials;
        for (const std::string &value : values)
            credentials.emplace_back(value);
        const Authentication result = authenticate(directory, needsKey, credentials);
        RC_ASSERT(!result.isAdmitted());
        RC_ASSERT(result.account == nullptr);
        RC_ASSERT(authenticate(directory, exempt, credentials).isAdmitted());
    });
    rc::prop("the key among other bytes", [&directory](const std::string &before, const std::string &after) {
        const std::string value = absl::StrCat(before, key, after);
        const Authentication result = authenticate(directory, needsKey, {value});
        RC_ASSERT(!result.isAdmitted() || result.removesCredentials);
    });
}

// Guards against a key that reaches a target through a route that needs none, and against an application's own
// credentials that are lost there.
TEST_CASE("a route that needs no key gets no account, and only keys of accounts are removed", "[accounts]")
{
    const AccountDirectory directory = directoryWith(key);
    for (const std::string &value : {"Bearer " + key, "bearer  " + key, "Basic " + key, key}) {
        INFO(value);
        const Authentication result = authenticate(directory, exempt, {"Basic other", value});
        CHECK(result.verdict == KeyVerdict::NotNeeded);
        CHECK(result.account == nullptr);
        CHECK(result.removesCredentials);
    }
    CHECK_FALSE(authenticate(directory, exempt, {"Bearer token-of-the-application"}).removesCredentials);
    CHECK_FALSE(authenticate(directory, exempt, {}).removesCredentials);
    CHECK(authenticate(directory, {true, false}, {}).isAdmitted());
}

// Guards against a deployment without accounts that treats credentials differently than before.
TEST_CASE("without accounts no request needs a key and credentials are passed on", "[accounts]")
{
    for (const KeyRequirement &requirement : {needsKey, exempt, KeyRequirement{false, false}}) {
        const Authentication result = authenticate(AccountDirectory(), requirement, {"Bearer " + key, "Bearer"});
        CHECK(result.verdict == KeyVerdict::NotNeeded);
        CHECK_FALSE(result.removesCredentials);
    }
}

// Guards against a withdrawn key that is accepted, or a new key that is called unknown, by a proxy whose directory may
// be out of date.
TEST_CASE("without a confirmed directory neither a known nor an unknown key gets a final response", "[accounts]")
{
    const AccountDirectory directory = directoryWith(key);
    for (const std::string &value : {"Bearer " + key, std::string("Bearer other"), std::string()}) {
        const Authentication result = authenticate(directory, {false, false}, {value});
        CHECK(result.verdict == KeyVerdict::Unconfirmed);
        CHECK_FALSE(result.isAdmitted());
        CHECK(result.account == nullptr);
    }
}

} // namespace dandeliondock::testing
