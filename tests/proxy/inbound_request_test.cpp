#include <dandeliondock/proxy/inbound_request.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

InboundRequest requestFor(const char *target)
{
    InboundRequest request;
    request.target = TargetId(target);
    request.service = ServiceName("ledger");
    request.route = RouteName("order");
    request.id = RequestId("r-1");
    request.workClass = WorkClass::Critical;
    request.isIdempotent = false;
    request.deadline = MonotonicTime{} + Milliseconds(2'000);
    request.softDeadline = MonotonicTime{} + Milliseconds(400);
    request.request.method = "POST";
    request.request.target = "/order/7";
    return request;
}

TEST_CASE("an encoded request is decoded with the same fields", "[proxy]")
{
    const InboundRequest sent = requestFor("t-1");
    const auto received = decodeInboundRequest(encodeInboundRequest(sent, MonotonicTime{}), MonotonicTime{});
    REQUIRE(received.ok());
    CHECK(received->target == sent.target);
    CHECK(received->service == sent.service);
    CHECK(received->route == sent.route);
    CHECK(received->id == sent.id);
    CHECK(received->workClass == sent.workClass);
    CHECK(received->isIdempotent == sent.isIdempotent);
    CHECK(received->deadline == sent.deadline);
    CHECK(received->softDeadline == sent.softDeadline);
    CHECK_FALSE(received->isRepeat);
    CHECK(received->request.headers.lines().empty());
    CHECK(received->maxWait == Microseconds(0));
    InboundRequest repeated = sent;
    repeated.isRepeat = true;
    repeated.maxWait = Milliseconds(125);
    const auto decodedRepeat = decodeInboundRequest(encodeInboundRequest(repeated, MonotonicTime{}), MonotonicTime{});
    REQUIRE(decodedRepeat.ok());
    CHECK(decodedRepeat->isRepeat);
    CHECK(decodedRepeat->maxWait == Milliseconds(125));
    CHECK(decodedRepeat->request.headers.lines().empty());
}

// Guards against a caller that sends headers of the protocol between proxies and thereby selects another target, or has
// a non-idempotent request treated as idempotent.
TEST_CASE("headers of a caller cannot replace the fields of an inbound request", "[proxy]")
{
    InboundRequest sent = requestFor("t-1");
    sent.request.headers.add("dock-target", "t-2");
    sent.request.headers.add("Dock-Service", "other");
    sent.request.headers.add("Dock-Route", "other");
    sent.request.headers.add("Dock-Id", "r-2");
    sent.request.headers.add("DOCK-TERMS", "1,1,60000,60000");
    sent.request.headers.add("Dock-Later", "kept for messages to come");
    sent.request.headers.add("Docket", "12");
    const auto received = decodeInboundRequest(encodeInboundRequest(sent, MonotonicTime{}), MonotonicTime{});
    REQUIRE(received.ok());
    CHECK(received->target == sent.target);
    CHECK(received->service == sent.service);
    CHECK(received->route == sent.route);
    CHECK(received->id == sent.id);
    CHECK_FALSE(received->isIdempotent);
    CHECK(received->workClass == sent.workClass);
    CHECK(received->deadline == sent.deadline);
    CHECK(received->request.headers.lines() == std::vector<HttpHeader>{{"Docket", "12"}});
}

// Guards against a target whose response claims that the request did not run, which would let an order run twice.
TEST_CASE("headers of a target cannot replace the outcome of a request", "[proxy]")
{
    InboundResult sent;
    sent.outcome = ForwardOutcome::Responded;
    sent.response.status = 200;
    sent.response.headers.add("Dock-Outcome", "not_run");
    sent.response.headers.add("dock-refusal", "busy");
    sent.response.headers.add("Dock-Load", "0,0,1000");
    sent.response.headers.add("Dock-Retry-Ms", "60000");
    sent.response.headers.add("Dock-Detail", "forged");
    sent.response.headers.add("Docket", "12");
    const auto received = decodeInboundResult(encodeInboundResult(sent));
    REQUIRE(received.ok());
    CHECK(received->outcome == ForwardOutcome::Responded);
    CHECK(received->refusal == InboundRefusal::None);
    CHECK_FALSE(received->load.has_value());
    CHECK(received->retryAfter.count() == 0);
    CHECK(received->detail.empty());
    CHECK(received->response.headers.lines() == std::vector<HttpHeader>{{"Docket", "12"}});
}

// Guards against proxies of the previous version that reject a result because its outcome is CallFailed.
TEST_CASE("CallFailed is encoded as Failed with a cause header", "[proxy]")
{
    InboundResult sent;
    sent.outcome = ForwardOutcome::CallFailed;
    sent.response.status = 500;
    const HttpResponse message = encodeInboundResult(sent);
    CHECK(message.headers.first("Dock-Outcome") == "failed");
    const auto received = decodeInboundResult(message);
    REQUIRE(received.ok());
    CHECK(received->outcome == ForwardOutcome::CallFailed);
    CHECK(received->response.status == 500);
    CHECK(received->response.headers.lines().empty());
    sent.outcome = ForwardOutcome::Failed;
    const auto targetFailure = decodeInboundResult(encodeInboundResult(sent));
    REQUIRE(targetFailure.ok());
    CHECK(targetFailure->outcome == ForwardOutcome::Failed);
}

// Guards against targets that are chosen for downloads although their link has a long queue.
TEST_CASE("the backlog of the link is a part of the reported load", "[proxy]")
{
    InboundResult sent;
    sent.refusal = InboundRefusal::LinkFull;
    sent.load = TargetLoad{3, 0, 16, Milliseconds(420)};
    const auto received = decodeInboundResult(encodeInboundResult(sent));
    REQUIRE(received.ok());
    CHECK(received->refusal == InboundRefusal::LinkFull);
    REQUIRE(received->load.has_value());
    CHECK(received->load->linkBacklog == Milliseconds(420));
    sent.load = TargetLoad{3, 0, 16, Milliseconds(0)};
    CHECK_FALSE(encodeInboundResult(sent).headers.first("Dock-Link-Ms").has_value());
}

// Guards against an invalid status that the proxy of a caller passes on, whatever outcome the message claims.
TEST_CASE("a result with an invalid status is refused", "[proxy]")
{
    for (const int status : {0, 99, 100, 101, 600, 999, -1}) {
        for (const char *outcome : {"answered", "failed", "not_run"}) {
            HttpResponse message;
            message.status = status;
            message.headers.add("Dock-Outcome", outcome);
            INFO("status " << status << " with outcome " << outcome);
            CHECK_FALSE(decodeInboundResult(message).ok());
        }
    }
}

// Guards against callers' proxies that take every target for equally fast, and against proxies of the previous version
// that cannot read the load because of further numbers in its header.
TEST_CASE("the work time is reported beside the load in a header of its own", "[proxy]")
{
    InboundResult sent;
    sent.load = TargetLoad{3, 0, 16, Milliseconds(0), Milliseconds(275), 170};
    HttpResponse message = encodeInboundResult(sent);
    CHECK(message.headers.first("Dock-Load") == "3,0,16");
    const auto received = decodeInboundResult(message);
    REQUIRE(received.ok());
    CHECK(received->load == sent.load);
    message.headers.set("Dock-Work", "-275,99999999");
    const auto invalid = decodeInboundResult(message);
    REQUIRE(invalid.ok());
    CHECK(invalid->load == TargetLoad{3, 0, 16});
    sent.load = TargetLoad{3, 0, 16};
    CHECK_FALSE(encodeInboundResult(sent).headers.first("Dock-Work").has_value());
}

// Guards against a full target that its callers' proxies take for a faulty one.
TEST_CASE("a result says whether the target was full", "[proxy]")
{
    InboundResult sent;
    sent.outcome = ForwardOutcome::MayHaveRun;
    for (const bool isFull : {true, false}) {
        sent.isTargetFull = isFull;
        const auto received = decodeInboundResult(encodeInboundResult(sent));
        REQUIRE(received.ok());
        CHECK(received->outcome == ForwardOutcome::MayHaveRun);
        CHECK(received->isTargetFull == isFull);
    }
}

// Guards against numbers of another process that overflow a clock or a counter.
TEST_CASE("numbers out of range in the headers between proxies are refused or ignored", "[proxy]")
{
    for (const char *terms : {"1,1,9223372036854775807,100", "1,1,100,-9223372036854775807", "1,1,100,86400001"}) {
        HttpRequest message = encodeInboundRequest(requestFor("t-1"), MonotonicTime{});
        message.headers.set("Dock-Terms", terms);
        CHECK_FALSE(decodeInboundRequest(std::move(message), MonotonicTime{}).ok());
    }
    InboundResult sent;
    sent.load = TargetLoad{3, 0, 16, Milliseconds(1)};
    HttpResponse message = encodeInboundResult(sent);
    message.headers.set("Dock-Load", "-1,0,99999999999");
    message.headers.set("Dock-Time-Ms", "9223372036854775807");
    message.headers.set("Dock-Retry-Ms", "-5");
    const auto received = decodeInboundResult(message);
    REQUIRE(received.ok());
    CHECK_FALSE(received->load.has_value());
    CHECK(received->inboundTime == Microseconds(0));
    CHECK(received->retryAfter == Microseconds(0));
}

} // namespace
} // namespace dandeliondock
