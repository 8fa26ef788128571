#include <platform/target_calls.h>

#include <dandeliondock/core/error.h>

#include <catch2/catch.hpp>

#include <string>

namespace dandeliondock::platform {
namespace {

HttpRequest heartbeat(const std::string &body)
{
    return {"POST", "/api/rpc?call=instances.heartbeat&of=i-1", {}, body};
}

const std::string whole = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":12,)"
                          R"("state":"ready","cold_remaining_ms":300,"sequence":4,"born":1782976810571,"new":{}})";

std::string with(const std::string &from, const std::string &to)
{
    std::string text = whole;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("a heartbeat is read whole, fields that are not known are passed over", "[platform]")
{
    const auto message = parseTargetRequest(heartbeat(whole));
    REQUIRE(message.ok());
    const auto &target = std::get<TargetAnnouncement>(*message);
    CHECK(target.target == TargetId("i-1"));
    CHECK(target.startedAt == Incarnation(1'782'976'810'571));
    CHECK(target.sequence == SequenceNumber(4));
    CHECK(target.state == EndpointState::Serving);
    CHECK(target.slots == SlotCount(12));
    CHECK(target.coldRemaining == Milliseconds(300));
    const auto draining = parseTargetRequest(heartbeat(with("\"ready\"", "\"draining\"")));
    REQUIRE(draining.ok());
    CHECK(std::get<TargetAnnouncement>(*draining).state == EndpointState::Leaving);
}

// Guards against a malformed heartbeat of another writer that names a target to use.
TEST_CASE("a heartbeat with a field missing, of another type or with an unknown word is refused", "[platform]")
{
    for (const std::string &body :
         {std::string("no json"), std::string("[]"), std::string("{}"), with("\"slots\":12", "\"slots\":\"12\""),
          with("\"slots\":12", "\"slots\":1.5"), with("\"slots\":12", "\"slots\":-1"),
          with("\"slots\":12", "\"slots\":0"), with("\"sequence\":4", "\"sequence\":null"), with("\"sequence\":4,", ""),
          with("\"service\":\"s\",", ""), with("\"ready\"", "\"asleep\""), with("1782976810571", "\"1782976810571\""),
          with("1782976810571", "1782976810571.5")}) {
        INFO(body);
        const auto message = parseTargetRequest(heartbeat(body));
        REQUIRE_FALSE(message.ok());
        CHECK(errorKind(message.status()) == ErrorKind::InvalidMessage);
    }
}

TEST_CASE("a leave call needs no body, and names its life when it has one", "[platform]")
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
