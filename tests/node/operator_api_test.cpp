#include "standins/memory_table.h"

#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/node/operator_api.h>
#include <dandeliondock/node/operator_text.h>
#include <dandeliondock/node/ticket_service.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <tickets.pb.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr const char *key = "a-long-key";
constexpr const char *ticketJson = R"({"number": 3, "author": "ada", "note": "ledger", "resources": [
    {"version": {"service": "ledger", "name": "v1"}},
    {"service": {"name": "ledger", "version": "v1", "slots_per_target": 20, "connections_per_target": 130}}]})";

struct OperatorApiFixture
{
    standins::MemoryTable table;
    TicketService service{table.hooks(), systemTime(), [](Milliseconds) {}};
    AcknowledgedRevisions acknowledged;
    OperatorApi api{hooks()};

    OperatorHooks hooks()
    {
        OperatorHooks hooks;
        hooks.file = [this](const Ticket &ticket) { return service.file(ticket); };
        hooks.accepted = [this](TicketNumber number) { return service.accepted(number); };
        hooks.list = [this](TicketNumber from, std::size_t limit) { return service.list(from, limit); };
        hooks.statusInput = [this](const std::vector<TicketNumber> &) {
            return TicketStatusInput{acknowledged, {}, true, WallTime{}};
        };
        hooks.status = [] {
            wire::NodeStatus status;
            status.set_node("n1");
            return status;
        };
        hooks.metricsText = [] { return std::string("page"); };
        hooks.keyMatches = [](absl::string_view given) { return equalInConstantTime(given, key); };
        return hooks;
    }

    HttpResponse send(const std::string &method, const std::string &target, const std::string &body = {},
                      const std::string &givenKey = key) const
    {
        HttpRequest request{method, target, {}, body};
        request.headers.add(operatorKeyHeader, givenKey);
        return api.serve(request);
    }

    std::string refusalKind(const HttpResponse &response) const
    {
        wire::Refusal refusal;
        REQUIRE(parseJson(response.body, ErrorKind::InvalidMessage, "refusal", refusal).ok());
        return refusal.kind();
    }
};

} // namespace

// Guards against a request that changes or shows data without the operators' key.
TEST_CASE("every request without the key is rejected", "[node]")
{
    const OperatorApiFixture fixture;
    for (const char *target : {"/tickets", "/tickets/1", "/status", "/metrics", "/nothing"}) {
        for (const char *wrong : {"", "a-long-kez", "a-long-key-", "a-long-ke"}) {
            const HttpResponse response = fixture.send("GET", target, {}, wrong);
            CHECK(response.status == 401);
            CHECK(fixture.refusalKind(response) == "not_authorised");
        }
    }
    CHECK(fixture.send("POST", "/tickets", ticketJson, "").status == 401);
    CHECK(fixture.send("GET", "/tickets/3").status == 404);
}

// Guards against a filing, its status and its listing that contradict each other.
TEST_CASE("a filed ticket is shown and listed", "[node]")
{
    OperatorApiFixture fixture;
    CHECK(fixture.send("POST", "/tickets", ticketJson).status == 200);
    wire::TicketFiled again;
    REQUIRE(parseJson(fixture.send("POST", "/tickets", ticketJson).body, ErrorKind::InvalidMessage, "", again).ok());
    CHECK(again.repeated());
    CHECK(again.revision() == 1);
    fixture.acknowledged = {RevisionNumber(1), 5};
    wire::TicketStatus status;
    REQUIRE(parseJson(fixture.send("GET", "/tickets/3").body, ErrorKind::InvalidMessage, "", status).ok());
    CHECK(status.state() == wire::TicketStatus::STATE_IN_FORCE);
    CHECK(status.author() == "ada");
    CHECK(absl::StrContains(describeTicket(status), "held by all 5 attached nodes"));
    wire::TicketList list;
    REQUIRE(parseJson(fixture.send("GET", "/tickets?from=1&limit=10").body, ErrorKind::InvalidMessage, "", list).ok());
    REQUIRE(list.tickets_size() == 1);
    CHECK(list.tickets(0).number() == 3);
    CHECK(fixture.send("GET", "/tickets?from=4").status == 200);
    CHECK(fixture.send("GET", "/tickets?from=x").status == 400);
    CHECK(fixture.send("GET", "/metrics").body == "page");
}

// Guards against a request that crashes the operators' API or is handled as another one.
TEST_CASE("any request gets a well-formed response", "[node]")
{
    const OperatorApiFixture fixture;
    rc::prop("any target and body", [&] {
        const std::string method = *rc::gen::element<std::string>("GET", "POST", "PUT", "");
        const std::string target = *rc::gen::element<std::string>("/tickets", "/tickets/", "/tickets?", "/status", "/")
                                   + *rc::gen::arbitrary<std::string>();
        const HttpResponse response = fixture.send(method, target, *rc::gen::arbitrary<std::string>());
        RC_ASSERT(response.status == 200 || response.status == 400 || response.status == 404);
        RC_ASSERT(!(method == "PUT" && response.status == 200));
    });
}

// Guards against a comparison that accepts a prefix, an extension or a repetition of the key.
TEST_CASE("the key comparison accepts only equal keys", "[node]")
{
    rc::prop("the comparison agrees with equality", [](const std::string &left, const std::string &right) {
        RC_ASSERT(equalInConstantTime(left, left));
        RC_ASSERT(equalInConstantTime(left, right) == (left == right));
        RC_ASSERT(!equalInConstantTime(left, left + left + "x"));
    });
}

} // namespace dandeliondock
