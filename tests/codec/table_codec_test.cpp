#include <dandeliondock/codec/table_codec.h>

#include <catch2/catch.hpp>

namespace dandeliondock {

// Guards against proxies that exchange versions of a table without the era that gives them their meaning.
TEST_CASE("polls and copies of a table between proxies carry the era of its versions", "[codec]")
{
    const TableVersion version{StoreEra(3), RowVersion(12)};
    const auto poll = decodeTablePoll(encodeTablePoll({TableName("op"), version, false}));
    REQUIRE(poll.ok());
    CHECK(poll->after == version);
    TableReadResult sent;
    sent.asOfVersion = version;
    sent.put({RowKey("a"), RowVersion(7), "value"});
    const auto received = decodeTableReadResult(encodeTableReadResult(sent));
    REQUIRE(received.ok());
    CHECK(received->asOfVersion == version);
    CHECK(received->versionOf(received->rows.front()) == TableVersion{StoreEra(3), RowVersion(7)});
}

} // namespace dandeliondock
