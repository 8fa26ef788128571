#include "support/ticket_generators.h"

#include <dandeliondock/codec/compression.h>
#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/store/row_keys.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr RowVersion present{1};

std::uint64_t positive()
{
    return *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000'000);
}

Revision drawRevision()
{
    Ticket ticket = *testing::anyTicket();
    return {RevisionNumber(positive()), std::move(ticket), WallTime(Milliseconds(positive()))};
}

// A valid encoding with some bytes replaced, or any bytes.
std::string damaged(std::string bytes)
{
    if (*rc::gen::inRange(0, 4) == 0)
        return *rc::gen::arbitrary<std::string>();
    for (int i = *rc::gen::inRange(1, 4); i > 0 && !bytes.empty(); --i)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    bytes.resize(bytes.size() - *rc::gen::inRange<std::size_t>(0, bytes.size() / 2 + 1));
    return bytes;
}

template <typename Result>
void checkTyped(const Result &result, const RowKey &key)
{
    if (result.ok())
        return;
    RC_ASSERT(errorKind(result.status()) == ErrorKind::InvalidRow);
    RC_ASSERT(result.status().message().find(key.value()) != absl::string_view::npos);
}

} // namespace

// Guards against a row that comes back from the table with another content.
TEST_CASE("rows round-trip", "[codec]")
{
    rc::prop("ticket and revision rows", [] {
        const Revision revision = drawRevision();
        const TableRow ticketRow{ticketKey(revision.ticket.number), present, encodeTicketRow(revision)};
        const TableRow revisionRow{revisionKey(revision.number), present, encodeRevisionRow(revision)};
        RC_ASSERT(*decodeTicketRow(ticketRow) == revision);
        RC_ASSERT(*decodeRevisionRow(revisionRow) == revision);
    });
    rc::prop("head, lease and rollout rows", [] {
        const std::uint64_t revision = positive();
        const HeadRow head{RevisionNumber(revision), TicketNumber(positive()),
                           RevisionNumber(*rc::gen::inRange<std::uint64_t>(0, revision + 1))};
        RC_ASSERT(decodeHeadRow({headKey(), present, encodeHeadRow(head)})->head == head);
        const LeaseRow lease{NodeId(*testing::anyName()), Address("10.0.0.1:1"), FencingToken(positive()),
                             WallTime(Milliseconds(positive()))};
        RC_ASSERT(*decodeLeaseRow({RowKey("lease/a/0"), present, encodeLeaseRow(lease)}) == lease);
        RolloutRow rollout;
        rollout.record = {TicketNumber(positive()), ServiceName(*testing::anyName()), StageIndex(3),
                          *rc::gen::element(RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack),
                          *rc::gen::element<std::string>("", "failures")};
        rollout.fence = FencingToken(positive());
        RC_ASSERT(*decodeRolloutRow({RowKey("rollout/1"), present, encodeRolloutRow(rollout)}) == rollout);
    });
}

// Guards against a damaged row that crashes a node or is reported without its key.
TEST_CASE("a damaged row is a typed error that names it, or a value that round-trips", "[codec]")
{
    rc::prop("ticket row", [] {
        const Revision revision = drawRevision();
        const TableRow row{ticketKey(revision.ticket.number), present, damaged(encodeTicketRow(revision))};
        const auto decoded = decodeTicketRow(row);
        checkTyped(decoded, row.key);
        if (decoded.ok())
            RC_ASSERT(*decodeTicketRow({row.key, present, encodeTicketRow(*decoded)}) == *decoded);
    });
    rc::prop("revision row", [] {
        const Revision revision = drawRevision();
        const TableRow row{revisionKey(revision.number), present, damaged(encodeRevisionRow(revision))};
        const auto decoded = decodeRevisionRow(row);
        checkTyped(decoded, row.key);
        if (decoded.ok())
            RC_ASSERT(*decodeRevisionRow({row.key, present, encodeRevisionRow(*decoded)}) == *decoded);
    });
    rc::prop("head, lease and rollout rows", [] {
        const TableRow head{headKey(), present,
                            damaged(encodeHeadRow({RevisionNumber(9), TicketNumber(5), RevisionNumber(2)}))};
        checkTyped(decodeHeadRow(head), head.key);
        const TableRow lease{
                RowKey("lease/a/0"), present,
                damaged(encodeLeaseRow({NodeId("n"), Address("10.0.0.1:1"), FencingToken(3), WallTime{}}))};
        checkTyped(decodeLeaseRow(lease), lease.key);
        RolloutRow content;
        content.record = {TicketNumber(5), ServiceName("ledger"), StageIndex(1), RolloutState::RolledBack, "failures"};
        const TableRow rollout{RowKey("rollout/5"), present, damaged(encodeRolloutRow(content))};
        checkTyped(decodeRolloutRow(rollout), rollout.key);
    });
}

// Guards against a row that was written under another row's key, or emptied.
TEST_CASE("a row under a wrong key or without content is refused", "[codec]")
{
    Revision revision;
    revision.number = RevisionNumber(3);
    revision.ticket.number = TicketNumber(8);
    const std::string ticket = encodeTicketRow(revision);
    CHECK(decodeTicketRow({ticketKey(TicketNumber(8)), present, ticket}).ok());
    CHECK_FALSE(decodeTicketRow({ticketKey(TicketNumber(9)), present, ticket}).ok());
    const std::string bytes = encodeRevisionRow(revision);
    CHECK(decodeRevisionRow({revisionKey(RevisionNumber(3)), present, bytes}).ok());
    CHECK_FALSE(decodeRevisionRow({revisionKey(RevisionNumber(4)), present, bytes}).ok());
    CHECK_FALSE(decodeHeadRow({headKey(), present, ""}).ok());
    CHECK(decodeHeadRow({headKey(), RowVersion{}, ""})->head == HeadRow{});
}

// Guards against a snapshot whose content is cut or longer than memory allows.
TEST_CASE("compressed content is whole and bounded", "[codec]")
{
    rc::prop("round trip", [](const std::string &text) {
        RC_ASSERT(*decompressBytes(compressBytes(text), ByteCount(text.size())) == text);
    });
    const std::string zeros(1U << 17U, '\0');
    const std::string packed = compressBytes(zeros);
    CHECK(errorKind(decompressBytes(packed, ByteCount(zeros.size() - 1)).status()) == ErrorKind::InvalidMessage);
    for (std::size_t length = 0; length < packed.size(); ++length)
        REQUIRE_FALSE(decompressBytes(packed.substr(0, length), ByteCount(zeros.size())).ok());
    CHECK_FALSE(decompressBytes(packed + "x", ByteCount(zeros.size())).ok());
}

} // namespace dandeliondock
