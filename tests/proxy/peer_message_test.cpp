#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/inbound_request.h>
#include <dandeliondock/proxy/peer_message.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

namespace dandeliondock {
namespace {

constexpr PeerMessageKind kinds[] = {PeerMessageKind::TablePoll, PeerMessageKind::OutcomeReport,
                                     PeerMessageKind::QuotaReport, PeerMessageKind::QuotaSums};

} // namespace

// Guards against a message that its receiver takes for a forwarded request or for a message of another kind.
TEST_CASE("a message between proxies is read as what it was sent for and as nothing else", "[proxy]")
{
    for (const PeerMessageKind kind : kinds) {
        const HttpRequest message = encodePeerMessage(kind, "body");
        const auto read = peerMessageKind(message);
        REQUIRE(read.ok());
        CHECK(*read == kind);
        CHECK_FALSE(decodeInboundRequest(message, MonotonicTime()).ok());
    }
    HttpRequest unknown;
    unknown.headers.add("Dock-Message", "later");
    CHECK(errorKind(peerMessageKind(unknown).status()) == ErrorKind::InvalidMessage);
}

// Guards against a caller who reaches the control duty of a proxy with a path, header or body of the request.
TEST_CASE("a forwarded request is no message between proxies, whatever its caller sent", "[proxy]")
{
    rc::prop("forwarded requests", [] {
        InboundRequest request;
        request.request.method = *rc::gen::element<std::string>("GET", "POST");
        request.request.target = *rc::gen::element<std::string>("/", "/dock/table", "/dock/outcomes", "/dock/1");
        const auto names = *rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("Dock-Message", "dock-message", "DOCK-MESSAGE", "Dock-Target", "Host"));
        for (const std::string &name : names)
            request.request.headers.add(name, *rc::gen::element<std::string>("table", "outcomes", "t", ""));
        request.request.body = encodePeerMessage(PeerMessageKind::TablePoll, "body").body;
        request.target = TargetId("t");
        request.service = ServiceName("s");
        const auto read = peerMessageKind(encodeInboundRequest(request, MonotonicTime()));
        RC_ASSERT(read.ok());
        RC_ASSERT(!read->has_value());
    });
}

} // namespace dandeliondock
