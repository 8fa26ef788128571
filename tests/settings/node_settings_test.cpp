#include <dandeliondock/core/error.h>
#include <dandeliondock/settings/ip_address.h>
#include <dandeliondock/settings/node_settings.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr const char *validSettings = R"({
  "deployment": "feedshare", "node": "n1", "region": "east-mids", "data_centre": "em-1",
  "callers": {"address": "127.0.0.1", "port": 9001},
  "nodes": {"address": "127.0.0.1", "port": 9002},
  "operators": {"address": "127.0.0.1", "port": 9003},
  "operator_key": "a-long-key", "store_address": "127.0.0.1:9000", "store_region": "east-mids",
  "peers": ["127.0.0.2:9002"],
  "target": {"id": "t1", "address": "127.0.0.1:8080", "service": "ledger", "version": "v1", "slots": 20}})";

std::string withReplacement(absl::string_view from, absl::string_view to)
{
    return absl::StrReplaceAll(validSettings, {{from, to}});
}

std::string settingsError(const std::string &json)
{
    const auto settings = parseNodeSettings(json);
    REQUIRE(errorKind(settings.status()) == ErrorKind::InvalidSettings);
    return std::string(settings.status().message());
}

} // namespace

// Guards against a default value that differs from the documented one.
TEST_CASE("absent optional settings have their default values", "[settings]")
{
    const auto settings = parseNodeSettings(validSettings);
    REQUIRE(settings.ok());
    CHECK(settings->fanOut == 8);
    CHECK(settings->pollHold == Milliseconds(1'500));
    CHECK(settings->maxBody == ByteCount(1U << 20U));
    CHECK(settings->memoryLimit == ByteCount(160'000'000));
    CHECK(settings->descriptorLimit == DescriptorCount(4'100));
    CHECK(settings->drainTimeout == Milliseconds(30'000));
    CHECK(settings->logLevel == "info");
    CHECK(settings->target->slots == SlotCount(20));
}

// Guards against a node whose largest legal body does not fit into its memory.
TEST_CASE("the limits of the machine are read, and a body fits into them", "[settings]")
{
    const auto settings =
            parseNodeSettings(withReplacement("\"deployment\"", "\"memory_mb\": 64, \"max_fds\": 256, \"deployment\""));
    REQUIRE(settings.ok());
    CHECK(settings->memoryLimit == ByteCount(64'000'000));
    CHECK(settings->descriptorLimit == DescriptorCount(256));
    CHECK(absl::StrContains(settingsError(withReplacement("\"deployment\"", "\"memory_mb\": 63, \"deployment\"")),
                            "memory_mb = 63"));
    CHECK(absl::StrContains(settingsError(withReplacement("\"deployment\"", "\"max_fds\": 255, \"deployment\"")),
                            "max_fds = 255"));
    CHECK(absl::StrContains(
            settingsError(withReplacement("\"deployment\"", "\"max_body_bytes\": 40000001, \"deployment\"")),
            "max_body_bytes = 40000001"));
}

// Guards against reporting only one error per start of the node.
TEST_CASE("all errors of a settings file are reported together", "[settings]")
{
    const std::string message = settingsError(R"({
      "deployment": "feed share", "node": 7, "region": "east-mids", "data_centre": "em-1",
      "callers": {"address": "localhost", "port": 9001, "prot": 1},
      "nodes": {"address": "127.0.0.1", "port": 70000},
      "operators": "127.0.0.1:9003",
      "operator_key": "short", "store_address": "127.0.0.1", "store_region": "east-mids",
      "peers": ["127.0.0.2:0", 4], "fan_out": 0, "drain_ms": "30s", "poll_hold": 1500, "log_level": "loud"})");
    for (const char *key : {"deployment = ", "node = 7", "callers.address = \"localhost\"", "callers.prot = 1",
                            "nodes.port = 70000", "operators = ", "operator_key = (hidden)",
                            "store_address = \"127.0.0.1\"", "peers[0] = ", "peers[1] = ", "fan_out = 0",
                            "drain_ms = \"30s\"", "poll_hold = 1500", "log_level = \"loud\""}) {
        CAPTURE(key, message);
        CHECK(absl::StrContains(message, key));
    }
    CHECK_FALSE(absl::StrContains(message, "short"));
}

// Guards against a node that starts with conflicting listeners, a conflicting target address or an unusable target.
TEST_CASE("conflicting addresses and ports and a target without slots are rejected", "[settings]")
{
    CHECK(absl::StrContains(settingsError(withReplacement("\"port\": 9003", "\"port\": 9001")),
                            "operators.port = 9001"));
    CHECK(absl::StrContains(settingsError(withReplacement("127.0.0.1:8080", "127.0.0.1:9001")), "target.address"));
    CHECK(absl::StrContains(settingsError(withReplacement("127.0.0.1:8080", "127.0.0.1:9000")), "target.address"));
    CHECK(absl::StrContains(settingsError(withReplacement("127.0.0.2:9002", "127.0.0.1:9002")), "peers[0]"));
    CHECK(absl::StrContains(
            settingsError(withReplacement("[\"127.0.0.2:9002\"]", "[\"127.0.0.2:9002\", \"127.0.0.2:9002\"]")),
            "peers[1]"));
    CHECK(absl::StrContains(settingsError(withReplacement("\"slots\": 20", "\"slots\": 0")), "target.slots = 0"));
    CHECK(absl::StrContains(settingsError(withReplacement(R"("address": "127.0.0.1", "port": 9002)",
                                                          R"("address": "0.0.0.0", "port": 9001)")),
                            "nodes.port = 9001"));
}

// Guards against a settings file that crashes the parser or causes an error of another kind.
TEST_CASE("a damaged settings file is parsed or rejected with a typed error", "[settings]")
{
    rc::prop("a valid file with some bytes replaced", [] {
        std::string json = validSettings;
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
            json[*rc::gen::inRange<std::size_t>(0, json.size())] = *rc::gen::arbitrary<char>();
        const auto settings = parseNodeSettings(json);
        RC_ASSERT(settings.ok() || errorKind(settings.status()) == ErrorKind::InvalidSettings);
    });
    rc::prop("any text", [](const std::string &text) {
        RC_ASSERT(errorKind(parseNodeSettings(text).status()) == ErrorKind::InvalidSettings);
    });
}

// Guards against treating two spellings of the same address as different addresses.
TEST_CASE("an address is an IP address with a port, in canonical form", "[settings]")
{
    CHECK(parseIpEndpoint("127.0.0.1:80") == IpEndpoint{"127.0.0.1", 80});
    CHECK(parseIpEndpoint("[0:0::1]:80") == IpEndpoint{"::1", 80});
    for (const char *invalidAddress : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "::1:80",
                                       "[::1:80", "localhost:80", "[127.0.0.1]:80", "127.1:80"}) {
        CAPTURE(invalidAddress);
        CHECK_FALSE(parseIpEndpoint(invalidAddress));
    }
}

} // namespace dandeliondock
