#include <dandeliondock/codec/table_codec.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cstdint>
#include <string>
#include <vector>

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

// Guards against a copy whose rows, encoded once for several responses, are damaged or belong to another response.
TEST_CASE("rows that are encoded once are read from each response", "[codec]")
{
    rc::prop("the response has the rows and its own fields", [](const std::vector<std::string> &values) {
        TableReadResult sent;
        for (std::size_t index = 0; index < values.size(); ++index)
            sent.put({RowKey(std::to_string(index)), RowVersion(index + 1), values[index]});
        sent.remove(RowKey("removed"));
        const EncodedTableRows rows = encodeTableRows(sent);
        for (const std::uint32_t age : {0U, 700U, 4'000'000'000U}) {
            TableReadResult fields;
            fields.asOfVersion = {StoreEra(2), RowVersion(age)};
            fields.age = Milliseconds(age);
            fields.confirmedAge = Milliseconds(age);
            const auto received = decodeTableReadResult(encodeTableReadResult(rows, fields));
            RC_ASSERT(received.ok());
            RC_ASSERT(received->asOfVersion == fields.asOfVersion);
            RC_ASSERT(received->age == fields.age);
            RC_ASSERT(received->confirmedAge == fields.confirmedAge);
            RC_ASSERT(received->removed == sent.removed);
            RC_ASSERT(received->rows.size() == values.size());
            for (std::size_t index = 0; index < values.size(); ++index)
                RC_ASSERT(received->rows[index].value == values[index]);
        }
    });
}

} // namespace dandeliondock
