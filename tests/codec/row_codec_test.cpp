#include "support/ticket_generators.h"

#include <dandeliondock/codec/compression.h>
#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/store/row_keys.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr RowVersion presentVersion{1};

std::uint64_t drawPositive()
{
    return *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000'000);
}

Revision drawRevision()
{
    Ticket ticket = *testing::anyTicket();
    return {RevisionNumber(drawPositive()), std::move(ticket), WallTime(Milliseconds(drawPositive()))};
}

// Replaces and cuts off some bytes of a valid encoding, or returns arbitrary bytes.
std::string corrupt(std::string bytes)
{
    if (*rc::gen::inRange(0, 4) == 0)
        return *rc::gen::arbitrary<std::string>();
    for (int i = *rc::gen::inRange(1, 4); i > 0 && !bytes.empty(); --i)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    bytes.resize(bytes.size() - *rc::gen::inRange<std::size_t>(0, bytes.size() / 2 + 1));
    return bytes;
}

template <typename Result>
void checkRowError(const Result &result, const RowKey &key)
{
    if (result.ok())
        return;
    RC_ASSERT(errorKind(result.status()) == ErrorKind::InvalidRow);
    RC_ASSERT(result.status().message().find(key.value()) != absl::string_view::npos);
}

} // namespace

// Guards against a row whose decoded content differs from what was encoded.
TEST_CASE("rows round-trip", "[codec]")
{
    rc::prop("ticket and revision rows", [] {
        const Revision revision = drawRevision();
        const TableRow ticketRow{ticketKey(revision.ticket.number), presentVersion, encodeTicketRow(revision)};
        const TableRow revisionRow{revisionKey(revision.number), presentVersion, encodeRevisionRow(revision)};
        RC_ASSERT(*decodeTicketRow(ticketRow) == revision);
        RC_ASSERT(*decodeRevisionRow(revisionRow) == revision);
    });
    rc::prop("head, lease and rollout rows", [] {
        const std::uint64_t revision = drawPositive();
        const HeadRow head{RevisionNumber(revision), TicketNumber(drawPositive()),
                           RevisionNumber(*rc::gen::inRange<std::uint64_t>(0, revision + 1))};
        RC_ASSERT(decodeHeadRow({headKey(), presentVersion, encodeHeadRow(head)})->head == head);
        const LeaseRow lease{NodeId(*testing::anyName()), Address("10.0.0.1:1"), FencingToken(drawPositive()),
                             WallTime(Milliseconds(drawPositive()))};
        RC_ASSERT(*decodeLeaseRow({RowKey("lease/a/0"), presentVersion, encodeLeaseRow(lease)}) == lease);
        RolloutRow rollout;
        rollout.record = {TicketNumber(drawPositive()), ServiceName(*testing::anyName()), StageIndex(3),
                          *rc::gen::element(RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack),
                          *rc::gen::element<std::string>("", "failures")};
        rollout.fence = FencingToken(drawPositive());
        RC_ASSERT(*decodeRolloutRow({RowKey("rollout/1"), presentVersion, encodeRolloutRow(rollout)}) == rollout);
    });
}

// Guards against a damaged row that crashes a node or whose error does not name its key.
TEST_CASE("a damaged row decodes to a typed error with its key, or to a value that round-trips", "[codec]")
{
    rc::prop("ticket row", [] {
        const Revision revision = drawRevision();
        const TableRow row{ticketKey(revision.ticket.number), presentVersion, corrupt(encodeTicketRow(revision))};
        const auto decoded = decodeTicketRow(row);
        checkRowError(decoded, row.key);
        if (decoded.ok())
            RC_ASSERT(*decodeTicketRow({row.key, presentVersion, encodeTicketRow(*decoded)}) == *decoded);
    });
    rc::prop("revision row", [] {
        const Revision revision = drawRevision();
        const TableRow row{revisionKey(revision.number), presentVersion, corrupt(encodeRevisionRow(revision))};
        const auto decoded = decodeRevisionRow(row);
        checkRowError(decoded, row.key);
        if (decoded.ok())
            RC_ASSERT(*decodeRevisionRow({row.key, presentVersion, encodeRevisionRow(*decoded)}) == *decoded);
    });
    rc::prop("head, lease and rollout rows", [] {
        const TableRow head{headKey(), presentVersion,
                            corrupt(encodeHeadRow({RevisionNumber(9), TicketNumber(5), RevisionNumber(2)}))};
        checkRowError(decodeHeadRow(head), head.key);
        const TableRow lease{
                RowKey("lease/a/0"), presentVersion,
                corrupt(encodeLeaseRow({NodeId("n"), Address("10.0.0.1:1"), FencingToken(3), WallTime{}}))};
        checkRowError(decodeLeaseRow(lease), lease.key);
        RolloutRow content;
        content.record = {TicketNumber(5), ServiceName("ledger"), StageIndex(1), RolloutState::RolledBack, "failures"};
        const TableRow rollout{RowKey("rollout/5"), presentVersion, corrupt(encodeRolloutRow(content))};
        checkRowError(decodeRolloutRow(rollout), rollout.key);
    });
}

// Guards against accepting a row that was written under another row's key or has lost its content.
TEST_CASE("a row under a wrong key or without content is rejected", "[codec]")
{
    Revision revision;
    revision.number = RevisionNumber(3);
    revision.ticket.number = TicketNumber(8);
    const std::string ticket = encodeTicketRow(revision);
    CHECK(decodeTicketRow({ticketKey(TicketNumber(8)), presentVersion, ticket}).ok());
    CHECK_FALSE(decodeTicketRow({ticketKey(TicketNumber(9)), presentVersion, ticket}).ok());
    const std::string bytes = encodeRevisionRow(revision);
    CHECK(decodeRevisionRow({revisionKey(RevisionNumber(3)), presentVersion, bytes}).ok());
    CHECK_FALSE(decodeRevisionRow({revisionKey(RevisionNumber(4)), presentVersion, bytes}).ok());
    CHECK_FALSE(decodeHeadRow({headKey(), presentVersion, ""}).ok());
    CHECK(decodeHeadRow({headKey(), RowVersion{}, ""})->head == HeadRow{});
}

// Guards against accepting a truncated snapshot, and against one whose content exhausts memory.
TEST_CASE("decompression rejects truncated, extended and oversized content", "[codec]")
{
    rc::prop("round trip", [](const std::string &text) {
        RC_ASSERT(*decompressBytes(compressBytes(text), ByteCount(text.size())) == text);
    });
    const std::string zeros(1U << 17U, '\0');
    const std::string compressed = compressBytes(zeros);
    CHECK(errorKind(decompressBytes(compressed, ByteCount(zeros.size() - 1)).status()) == ErrorKind::InvalidMessage);
    for (std::size_t length = 0; length < compressed.size(); ++length)
        REQUIRE_FALSE(decompressBytes(compressed.substr(0, length), ByteCount(zeros.size())).ok());
    CHECK_FALSE(decompressBytes(compressed + "x", ByteCount(zeros.size())).ok());
}

} // namespace dandeliondock
