#include <platform/operator_rows.h>

#include <dandeliondock/core/error.h>

#include <catch2/catch.hpp>

#include <string>

namespace dandeliondock::platform {
namespace {

const std::string validConfig =
        R"({"version":"r7","routes":{)"
        R"("a":{"host":"h","prefix":"/a/","kind":"safe","timeout_ms":1000,"target_latency_ms":300,"priority":2,)"
        R"("weighted_services":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":2},)"
        R"("b":{"host":"h","prefix":"/a/b/","kind":"unsafe","timeout_ms":1200,"priority":1,"service":"t"}},)"
        R"("services":{"s":{"health_path":"/health","max_connections":130},"t":{"health_path":"/h"}},)"
        R"("limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400}})";

absl::StatusOr<OperatorDocument> readConfigText(const std::string &text)
{
    return operatorTableCodec().read({RowKey("config"), RowVersion(3), text}, StoreEra());
}

std::string configWith(const std::string &from, const std::string &to)
{
    std::string text = validConfig;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("a configuration is read into routes, services and limits", "[platform]")
{
    const auto document = readConfigText(validConfig);
    REQUIRE(document.ok());
    const ProxyConfigPtr config = std::get<ProxyConfigPtr>(*document);
    CHECK(config->state->revision() == RevisionNumber(7));
    CHECK(config->limits == ConnectionLimits{ByteCount(100), ByteCount(200), Milliseconds(300), Milliseconds(400)});
    const RouteMatch lookupMatch = config->routes.match("H", "/a/1?x=/a/b/");
    REQUIRE(lookupMatch.route != nullptr);
    CHECK(lookupMatch.route->idempotent);
    CHECK(lookupMatch.route->attemptLimit == 2);
    CHECK(lookupMatch.route->split.size() == 2);
    CHECK(lookupMatch.route->workClass == WorkClass::Deferrable);
    CHECK(lookupMatch.route->targetLatency == Milliseconds(300));
    const RouteMatch order = config->routes.match("h", "/a/b/1");
    REQUIRE(order.route != nullptr);
    CHECK_FALSE(order.route->idempotent);
    CHECK(order.route->workClass == WorkClass::Interactive);
    CHECK(config->routes.match("h", "/b/").route == nullptr);
    CHECK(config->routes.match("other", "/a/").route == nullptr);
}

// Guards against a configuration that is applied partially or that refers to a service that does not exist.
TEST_CASE("a configuration with any error is rejected as a whole", "[platform]")
{
    for (const std::string &text :
         {validConfig.substr(0, validConfig.size() / 2), configWith("\"r7\"", "7"), configWith("\"r7\"", "\"7\""),
          configWith("\"r7\"", "\"r0\""), configWith("\"service\":\"t\"}},", "\"service\":\"u\"}},"),
          configWith("\"weight\":90", "\"weight\":\"90\""), configWith("\"/a/b/\"", "\"/a/b\""),
          configWith("\"unsafe\"", "\"other\""), configWith("\"timeout_ms\":1200", "\"timeout_ms\":0"),
          configWith("\"weight\":10", "\"weight\":-10"),
          configWith("{\"service\":\"t\",\"weight\":10}", "{\"service\":\"u\",\"weight\":10}")}) {
        INFO(text);
        const auto document = readConfigText(text);
        CHECK_FALSE(document.ok());
    }
}

TEST_CASE("client accounts and what routes and services say of them are read", "[platform]")
{
    std::string text = configWith(R"("priority":1,"service":"t")",
                                  R"("priority":1,"service":"t","auth_exempt":true,"allowed_regions":["east"])");
    text.insert(text.size() - 1, R"(,"tenants":{"mill":{"api_keys":["key-1","key-2"],"priority":0,"rate_per_s":2.5,)"
                                 R"("burst":3,"allowed_regions":["east","west"]},"farm":{"api_keys":["key-3"]}})");
    const auto document = readConfigText(text);
    REQUIRE(document.ok());
    const ProxyConfigPtr config = std::get<ProxyConfigPtr>(*document);
    const Route *exempt = config->routes.match("h", "/a/b/").route;
    REQUIRE(exempt != nullptr);
    CHECK(exempt->isKeyExempt);
    CHECK(exempt->allowedRegions == std::vector<RegionName>{RegionName("east")});
    CHECK_FALSE(config->routes.match("h", "/a/").route->isKeyExempt);
    const ClientAccount *mill = config->accounts.find("key-2");
    REQUIRE(mill != nullptr);
    CHECK(mill->name == AccountName("mill"));
    CHECK(mill->workClass == WorkClass::Critical);
    CHECK(mill->quota == RequestQuota{RequestRate(2.5), RequestAmount(3)});
    CHECK(mill->allowedRegions == std::vector<RegionName>{RegionName("east"), RegionName("west")});
    const ClientAccount *farm = config->accounts.find("key-3");
    REQUIRE(farm != nullptr);
    CHECK_FALSE(farm->workClass.has_value());
    CHECK(farm->quota.isUnlimited());
    CHECK(config->accounts.find("key-4") == nullptr);
    CHECK(std::get<ProxyConfigPtr>(*readConfigText(validConfig))->accounts.isEmpty());
}

// Guards against a configuration whose accounts are read in part, that throws on an odd type, or whose error shows a
// key in the log.
TEST_CASE("a configuration with an odd account is rejected as a whole with an error that names it", "[platform]")
{
    for (const std::string account :
         {R"({"api_keys":["secret-1",""]})", R"({"api_keys":["secret-1","secret-1"]})",
          R"({"api_keys":["secret-1","secret-0"]})", R"({"api_keys":["secret-1"],"rate_per_s":-1})",
          R"({"api_keys":["secret-1"],"burst":-0.5})", R"({"api_keys":["secret-1"],"rate_per_s":1e300})",
          R"({"api_keys":["secret-1"],"burst":1000001})", R"({"api_keys":["secret-1"],"allowed_regions":[""]})",
          R"({"api_keys":["secret-1"],"allowed_regions":["ea st"]})"}) {
        INFO(account);
        std::string text = validConfig;
        text.insert(text.size() - 1, R"(,"tenants":{"first":{"api_keys":["secret-0"]},"odd":)" + account + "}");
        const auto document = readConfigText(text);
        REQUIRE_FALSE(document.ok());
        CHECK(errorKind(document.status()) == ErrorKind::InvalidRow);
        // Which of two accounts that hold one key is at fault is not known; the error names both.
        CHECK_THAT(std::string(document.status().message()), Catch::Contains("\"odd\""));
        CHECK_THAT(std::string(document.status().message()), !Catch::Contains("secret"));
    }
    for (const std::string accounts :
         {R"({"odd":{"api_keys":"secret-1"}})", R"({"odd":{"api_keys":["secret-1",7]}})",
          R"({"odd":{"api_keys":[["secret-1"]]}})", R"({"odd":{"api_keys":{"secret-1":"secret-1"}}})",
          R"({"odd":{"api_keys":null}})", R"({"odd":["secret-1"]})", R"(["secret-1"])", R"({"odd":"secret-1"})",
          R"({"odd":{"api_keys":["secret-1"],"priority":-1}})", R"({"odd":{"api_keys":["secret-1"],"priority":"1"}})",
          R"({"odd":{"api_keys":["secret-1"],"rate_per_s":"2"}})",
          R"({"odd":{"api_keys":["secret-1"],"rate_per_s":1e999}})", R"({"":{"api_keys":["secret-1"]}})",
          R"({"odd\r\nX-Other: 1":{"api_keys":["secret-1"]}})", R"({"odd":{"api_keys":["secret-1)"}) {
        INFO(accounts);
        std::string text = validConfig;
        text.insert(text.size() - 1, R"(,"tenants":)" + accounts);
        const auto document = readConfigText(text);
        REQUIRE_FALSE(document.ok());
        CHECK_THAT(std::string(document.status().message()), !Catch::Contains("secret"));
    }
}

TEST_CASE("a rollout order takes its number from the row version, and its state is written to the status table",
          "[platform]")
{
    const OperatorTableCodec codec = operatorTableCodec();
    const auto document = codec.read(
            {RowKey("rollout/s"), RowVersion(9), R"({"service":"s","target":"v2","duration_s":12.5})"}, StoreEra());
    REQUIRE(document.ok());
    const auto &order = std::get<RolloutOrder>(*document);
    CHECK(order.number == TicketNumber(9));
    CHECK(order.target == VersionName("v2"));
    CHECK(order.duration == Milliseconds(12'500));
    CHECK_FALSE(codec.read({RowKey("rollout/s"), RowVersion(9), R"({"service":"t","target":"v2","duration_s":1})"},
                           StoreEra())
                        .ok());
    CHECK_FALSE(codec.read({RowKey("rollout/s"), RowVersion(9), R"({"service":"s","target":"v2"})"}, StoreEra()).ok());
    const TableWrite status = codec.status(ServiceName("s"), VersionName("v2"), RolloutState::RolledBack);
    CHECK(status.table == TableName("status"));
    CHECK(status.row.key == RowKey("rollout/s"));
    CHECK(*status.row.value == R"({"service":"s","state":"rolled_back","target":"v2"})");
    const auto other = codec.read({RowKey("else"), RowVersion(1), "anything"}, StoreEra());
    REQUIRE(other.ok());
    CHECK(std::holds_alternative<std::monostate>(*other));
}

} // namespace dandeliondock::platform
