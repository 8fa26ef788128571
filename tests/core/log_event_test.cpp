#include <dandeliondock/core/error.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/log_event.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

namespace dandeliondock {

// Guards against log lines that a key=value parser cannot parse.
TEST_CASE("an event is one line of key=value pairs", "[core]")
{
    std::string written;
    LogEvent(LogLevel::Info, "ticket.accepted")
            .field("ticket", TicketNumber(7))
            .field("author", "ada lovelace")
            .field("repeated", false)
            .write([&](LogLevel, const std::string &line) { written = line; });
    CHECK(written == R"(event=ticket.accepted ticket=7 author="ada lovelace" repeated=false)");
}

// Guards against log injection: a value from a caller that adds a line or a field.
TEST_CASE("values cannot add lines or fields", "[core]")
{
    rc::prop("any value results in one line", [](const std::string &value) {
        const std::string line = LogEvent(LogLevel::Info, "x").field("v", absl::string_view(value)).line();
        RC_ASSERT(std::none_of(line.begin(), line.end(), [](char c) { return c >= 0 && c < ' '; }));
        const std::size_t quotes = static_cast<std::size_t>(std::count(line.begin(), line.end(), '"'));
        const bool plain = line == "event=x v=" + value;
        RC_ASSERT(plain || quotes >= 2);
    });
}

} // namespace dandeliondock
