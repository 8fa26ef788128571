#include <platform/target_calls.h>

#include <dandeliondock/core/error.h>

#include <catch2/catch.hpp>

#include <string>

namespace dandeliondock::platform {
namespace {

HttpRequest heartbeatRequest(const std::string &body)
{
    return {"POST", "/api/rpc?call=instances.heartbeat&of=i-1", {}, body};
}

const std::string validHeartbeat =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":12,)"
        R"("state":"ready","cold_remaining_ms":300,"sequence":4,"born":1782976810571,"new":{}})";

std::string heartbeatWith(const std::string &from, const std::string &to)
{
    std::string text = validHeartbeat;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("a heartbeat is parsed and its unknown fields are ignored", "[platform]")
{
    const auto message = parseTargetRequest(heartbeatRequest(validHeartbeat));
    REQUIRE(message.ok());
    const auto &announcement = std::get<TargetAnnouncement>(*message);
    CHECK(announcement.target == TargetId("i-1"));
    CHECK(announcement.startedAt == Incarnation(1'782'976'810'571));
    CHECK(announcement.sequence == SequenceNumber(4));
    CHECK(announcement.state == EndpointState::Serving);
    CHECK(announcement.slots == SlotCount(12));
    CHECK(announcement.coldRemaining == Milliseconds(300));
    const auto draining = parseTargetRequest(heartbeatRequest(heartbeatWith("\"ready\"", "\"draining\"")));
    REQUIRE(draining.ok());
    CHECK(std::get<TargetAnnouncement>(*draining).state == EndpointState::Leaving);
}

// Guards against putting a target into use because of a malformed heartbeat from another implementation.
TEST_CASE("a heartbeat with a missing field, a wrong type or an unknown state is rejected", "[platform]")
{
    for (const std::string &body :
         {std::string("no json"), std::string("[]"), std::string("{}"),
          heartbeatWith("\"slots\":12", "\"slots\":\"12\""), heartbeatWith("\"slots\":12", "\"slots\":1.5"),
          heartbeatWith("\"slots\":12", "\"slots\":-1"), heartbeatWith("\"slots\":12", "\"slots\":0"),
          heartbeatWith("\"sequence\":4", "\"sequence\":null"), heartbeatWith("\"sequence\":4,", ""),
          heartbeatWith("\"service\":\"s\",", ""), heartbeatWith("\"address\":\"10.0.0.1:80\",", ""),
          heartbeatWith("\"zone\":\"z\",", ""), heartbeatWith("\"version\":\"v1\",", ""),
          heartbeatWith("\"slots\":12,", ""), heartbeatWith("\"state\":\"ready\",", ""),
          heartbeatWith("\"cold_remaining_ms\":300,", ""), heartbeatWith("\"ready\"", "\"asleep\""),
          heartbeatWith("1782976810571", "\"1782976810571\""), heartbeatWith("1782976810571", "1782976810571.5")}) {
        INFO(body);
        const auto message = parseTargetRequest(heartbeatRequest(body));
        REQUIRE_FALSE(message.ok());
        CHECK(errorKind(message.status()) == ErrorKind::InvalidMessage);
    }
}

TEST_CASE("a leave request may have an empty body, and a body may name the incarnation", "[platform]")
{
    HttpRequest request{"POST", "/api/rpc?call=instances.leave&of=i-1", {}, {}};
    auto message = parseTargetRequest(request);
    REQUIRE(message.ok());
    CHECK(std::get<TargetDeparture>(*message).target == TargetId("i-1"));
    CHECK_FALSE(std::get<TargetDeparture>(*message).startedAt.has_value());
    request.body = R"({"born":7})";
    message = parseTargetRequest(request);
    REQUIRE(message.ok());
    CHECK(std::get<TargetDeparture>(*message).startedAt == Incarnation(7));
    CHECK(errorKind(parseTargetRequest({"GET", "/other", {}, {}}).status()) == ErrorKind::NotFound);
}

} // namespace dandeliondock::platform
