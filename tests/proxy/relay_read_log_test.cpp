#include "support/relay_fleet.h"
#include "support/table_versions.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/relay_read_log.h>

#include <absl/strings/match.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace dandeliondock::testing {
namespace {

const TableName table("op");
const Address peer("127.0.0.1:1");
const Address platform;

class RecordedReads
{
public:
    void succeed(const Address &source, bool isFull = false)
    {
        TableReadResult result;
        result.asOfVersion = tableVersion(7);
        m_log.recordSuccess({table, isFull, {peer, source}, Milliseconds(120)}, source, result, MonotonicTime());
    }

    void fail()
    {
        m_log.recordFailure({table, false, {peer, platform}, Milliseconds(700)},
                            makeError(ErrorKind::StoreUnavailable, "refused"), MonotonicTime());
    }

    void readPlatform(PlatformReadKind kind, ByteCount bytes)
    {
        TableReadResult result;
        result.asOfVersion = tableVersion(7);
        result.bytes = bytes;
        m_log.recordPlatformRead({table, kind, Milliseconds(90), 2}, result, MonotonicTime());
    }

    MetricsRegistry metrics;
    std::vector<std::string> lines;

private:
    RelayReadLog m_log{metrics, [this](LogLevel, const std::string &line) { lines.push_back(line); }};
};

} // namespace

// Guards against a fleet in which nobody can tell which proxies read from the platform.
TEST_CASE("a change of the source of a table is logged once", "[proxy]")
{
    RecordedReads reads;
    reads.succeed(peer);
    reads.succeed(peer);
    reads.succeed(platform);
    REQUIRE(reads.lines.size() == 2);
    CHECK(absl::StrContains(reads.lines[0], "relay.source table=op source=127.0.0.1:1"));
    CHECK(absl::StrContains(reads.lines[1], "relay.source table=op source=store"));
}

// Guards against full reads that take long, or several sources, without a trace.
TEST_CASE("a full read is logged with its sources and its duration", "[proxy]")
{
    RecordedReads reads;
    reads.succeed(platform, true);
    REQUIRE(reads.lines.size() == 2);
    CHECK(absl::StrContains(reads.lines[1], "table.full_read"));
    CHECK(absl::StrContains(reads.lines[1], "called=127.0.0.1:1,store"));
    CHECK(absl::StrContains(reads.lines[1], "took_ms=120"));
    CHECK(reads.metrics.histogram("table_full_read_seconds").count() == 1);
}

// Guards against a read whose failure after the response timeout of its watch is not seen.
TEST_CASE("a failed read is logged with its sources and counted", "[proxy]")
{
    RecordedReads reads;
    reads.fail();
    REQUIRE(reads.lines.size() == 1);
    CHECK(absl::StrContains(reads.lines[0], "relay.read_failed table=op full=false called=127.0.0.1:1,store"));
    CHECK(absl::StrContains(reads.lines[0], "refused"));
    CHECK(reads.metrics.counter("relay_read_failures_total", MetricLabel{"table", "op"}).value() == 1);
}

// Guards against copies that are missing in the byte counts of either end.
TEST_CASE("a copy counts with the same bytes where it is sent and where it is received", "[proxy]")
{
    constexpr Milliseconds timeout{5'000};
    PeerFleet fleet;
    ChildProxy child(fleet);
    REQUIRE(child.waitFor(tableVersion(1), timeout) < timeout);
    fleet.change(tableVersion(2));
    REQUIRE(child.waitFor(tableVersion(2), timeout) < timeout);
    const TableName operatorTable("operator");
    for (const bool isFull : {true, false}) {
        const auto received = relayedBytes(child.metrics(), RelayDirection::Received, operatorTable, isFull).value();
        CHECK(received > 0);
        CHECK(received <= relayedBytes(fleet.metrics(), RelayDirection::Sent, operatorTable, isFull).value());
    }
}

// Guards against bytes on the link to the platform that no log line or metric attributes to a kind of read.
TEST_CASE("reads from the platform are counted by kind, and long ones are logged", "[proxy]")
{
    RecordedReads reads;
    reads.readPlatform(PlatformReadKind::Changes, ByteCount(300));
    CHECK(reads.lines.empty());
    reads.readPlatform(PlatformReadKind::Probe, longPlatformReadBytes);
    REQUIRE(reads.lines.size() == 1);
    CHECK(absl::StrContains(reads.lines[0], "platform.read table=op read=probe took_ms=90 in_progress=2 bytes=65536"));
    const auto bytesOf = [&reads](const char *kind) {
        return reads.metrics.counter("platform_read_bytes_total", MetricLabel{"read", kind}).value();
    };
    CHECK(bytesOf("changes") == 300);
    CHECK(bytesOf("probe") == longPlatformReadBytes.value());
    CHECK(bytesOf("full") == 0);
}

} // namespace dandeliondock::testing
