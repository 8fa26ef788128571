#include "support/ticket_generators.h"

#include <dandeliondock/codec/config_codec.h>
#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/codec/ticket_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/tickets/acceptance.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {

// Guards against a field of a ticket that is missing from its JSON form.
TEST_CASE("a ticket round-trips through JSON", "[codec]")
{
    rc::prop("any valid ticket", [] {
        const Ticket ticket = *testing::anyTicket();
        const absl::StatusOr<Ticket> parsed = parseTicket(printJson(encodeTicket(ticket)));
        RC_ASSERT(parsed.ok());
        RC_ASSERT(*parsed == ticket);
    });
}

// Guards against a malformed ticket that crashes the node or is reported as an internal error.
TEST_CASE("a damaged ticket parses or is rejected as an invalid ticket", "[codec]")
{
    rc::prop("the JSON of a valid ticket with some bytes replaced", [] {
        std::string json = printJson(encodeTicket(*testing::anyTicket()));
        for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
            json[*rc::gen::inRange<std::size_t>(0, json.size())] = *rc::gen::arbitrary<char>();
        const absl::StatusOr<Ticket> parsed = parseTicket(json);
        RC_ASSERT(parsed.ok() || errorKind(parsed.status()) == ErrorKind::InvalidTicket);
        if (parsed.ok()) {
            const absl::Status validated = validateTicket(*parsed);
            RC_ASSERT(validated.ok() || errorKind(validated) == ErrorKind::InvalidTicket);
        }
    });
    rc::prop("any text", [](const std::string &text) {
        RC_ASSERT(errorKind(parseTicket(text).status()) == ErrorKind::InvalidTicket || text.empty());
    });
}

// Guards against silently ignoring an unknown field, such as a misspelt one.
TEST_CASE("the error of a ticket with an unknown field names the field", "[codec]")
{
    const absl::Status status = parseTicket(R"({"number": 1, "auther": "ada"})").status();
    CHECK(errorKind(status) == ErrorKind::InvalidTicket);
    CHECK(status.message().find("auther") != absl::string_view::npos);
}

} // namespace dandeliondock
