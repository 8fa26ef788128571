#include <dandeliondock/proxy/inbound_request.h>
#include <dandeliondock/proxy/key_check.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace dandeliondock::testing {
namespace {

const std::string key = "k3y-of-mill";
constexpr Milliseconds bound{5'000};

ProxyConfigPtr configWithAccount(std::uint64_t revision, const std::string &accountKey)
{
    ClientAccount account;
    account.name = AccountName("mill");
    account.keys.emplace_back(accountKey);
    auto accounts = AccountDirectory::create({account});
    REQUIRE(accounts.ok());
    auto state = ConfigState::fromSnapshot(RevisionNumber(revision), {});
    REQUIRE(state.ok());
    return std::make_shared<const ProxyConfig>(std::make_shared<const ConfigState>(*std::move(state)),
                                               ConnectionLimits(), *std::move(accounts));
}

HttpHeaders headersWith(const std::string &authorization)
{
    HttpHeaders headers;
    headers.add("authorization", authorization);
    headers.add("Accept", "x");
    return headers;
}

/// A key check with a clock that the test moves, and its log.
class TestKeyCheck
{
public:
    TestKeyCheck() : check(dependencies()) {}

    KeyVerdict verdictOf(const ProxyConfigPtr &config, const std::string &authorization)
    {
        return check.check(*config, Route(), headersWith(authorization)).verdict;
    }

    [[nodiscard]] const std::string &log() const { return logText; }

    BootTime now{std::chrono::hours(1)};
    std::string logText;
    MetricsRegistry metrics;
    KeyCheck check;

private:
    KeyCheckDependencies dependencies()
    {
        KeyCheckDependencies dependencies;
        dependencies.metrics = &metrics;
        dependencies.log = [this](LogLevel, const std::string &line) { absl::StrAppend(&logText, line, "\n"); };
        dependencies.headerNames.authorization = "Authorization";
        dependencies.headerNames.account = "X-Account";
        dependencies.withdrawalBound = bound;
        dependencies.now = [this] { return now; };
        return dependencies;
    }
};

} // namespace

// Guards against a suspended machine that accepts a withdrawn key after it resumes: the lease is checked again for each
// request, on a clock that has continued.
TEST_CASE("keys are accepted only while the configuration is confirmed, and the loss is logged once", "[proxy]")
{
    TestKeyCheck test;
    const ProxyConfigPtr config = configWithAccount(7, key);
    CHECK(test.verdictOf(config, "Bearer " + key) == KeyVerdict::Unconfirmed);
    test.check.confirm({RevisionNumber(7), test.now}, *config);
    CHECK(test.verdictOf(config, "Bearer " + key) == KeyVerdict::Accepted);
    CHECK(test.verdictOf(config, "Bearer other") == KeyVerdict::Unknown);
    test.now += configLeaseDuration(bound) - Milliseconds(1);
    CHECK(test.verdictOf(config, "Bearer " + key) == KeyVerdict::Accepted);
    test.now += Milliseconds(1);
    for (int request = 0; request < 100; ++request)
        CHECK(test.verdictOf(config, "Bearer " + key) == KeyVerdict::Unconfirmed);
    test.check.confirm({RevisionNumber(7), test.now}, *config);
    CHECK(test.verdictOf(config, "Bearer " + key) == KeyVerdict::Accepted);
    CHECK(test.log()
          == "event=keys.unconfirmed revoke_ms=5000\n"
             "event=keys.confirmed_again revoke_ms=5000 age_ms=0\n"
             "event=keys.unconfirmed revoke_ms=5000 age_ms=4750\n"
             "event=keys.confirmed_again revoke_ms=5000 age_ms=0\n");
}

// Guards against a lease that is extended for a configuration which did not reach the duty that checks keys.
TEST_CASE("the confirmation of a later configuration does not confirm the one in force", "[proxy]")
{
    TestKeyCheck test;
    const ProxyConfigPtr config = configWithAccount(7, key);
    test.check.confirm({RevisionNumber(8), test.now}, *config);
    CHECK(test.verdictOf(config, "Bearer " + key) == KeyVerdict::Unconfirmed);
    const ProxyConfigPtr next = configWithAccount(8, "another");
    test.check.confirm({RevisionNumber(8), test.now}, *next);
    CHECK(test.verdictOf(next, "Bearer " + key) == KeyVerdict::Unknown);
    CHECK(test.verdictOf(next, "Bearer another") == KeyVerdict::Accepted);
}

// Guards against a key that is sent to another proxy or a target, and against an account that the client names itself.
TEST_CASE("a forwarded request names its account and does not contain the key", "[proxy]")
{
    TestKeyCheck test;
    const ProxyConfigPtr config = configWithAccount(7, key);
    test.check.confirm({RevisionNumber(7), test.now}, *config);
    Route exemptRoute;
    exemptRoute.isKeyExempt = true;
    for (const bool isExempt : {false, true}) {
        InboundRequest request;
        HttpHeaders &headers = request.request.headers;
        headers = headersWith("Bearer " + key);
        headers.add("x-account", "forged");
        headers.add("X-Account", "forged");
        const Authentication result = test.check.check(*config, isExempt ? exemptRoute : Route(), headers);
        REQUIRE(result.isAdmitted());
        test.check.rewriteHeaders(result, headers);
        std::string encoded;
        const HttpRequest message = encodeInboundRequest(request, MonotonicTime());
        for (const HttpHeader &line : message.headers.lines())
            absl::StrAppend(&encoded, line.name, ": ", line.value, "\n");
        INFO(encoded);
        CHECK_FALSE(absl::StrContains(encoded, key));
        CHECK_FALSE(absl::StrContains(encoded, "forged"));
        CHECK(absl::StrContains(encoded, "Accept: x"));
        CHECK(absl::StrContains(encoded, "X-Account: mill") == !isExempt);
    }
}

} // namespace dandeliondock::testing
