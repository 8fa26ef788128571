#include <dandeliondock/codec/compression.h>
#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/codec/table_codec.h>

#include <proxy.pb.h>

#include <algorithm>
#include <limits>

namespace dandeliondock {

namespace {

constexpr ByteCount maxDecompressedSize{67'108'864};
constexpr Milliseconds::rep maxAge = std::numeric_limits<std::uint32_t>::max();

} // namespace

std::string encodeTablePoll(const TablePoll &poll)
{
    wire::TablePoll message;
    message.set_table(poll.table.value());
    message.set_after(poll.after.version.value());
    message.set_era(poll.after.era.value());
    message.set_whole(poll.isFull);
    return message.SerializeAsString();
}

absl::StatusOr<TablePoll> decodeTablePoll(absl::string_view bytes)
{
    const auto message = parseMessage<wire::TablePoll>(bytes, ErrorKind::InvalidMessage, "a call for changes");
    if (!message.ok())
        return message.status();
    if (message->table().empty())
        return makeError(ErrorKind::InvalidMessage, "a call for changes names no table");
    return TablePoll{
            TableName(message->table()), {StoreEra(message->era()), RowVersion(message->after())}, message->whole()};
}

std::string encodeTableReadResult(const TableReadResult &result)
{
    return encodeTableReadResult(encodeTableRows(result), result);
}

EncodedTableRows encodeTableRows(const TableReadResult &result)
{
    wire::TableCopy message;
    for (const TableRow &row : result.rows) {
        wire::TableRow &entry = *message.add_rows();
        entry.set_key(row.key.value());
        entry.set_version(row.version.value());
        entry.set_value(row.value);
    }
    for (const RowKey &key : result.removed)
        message.add_removed(key.value());
    return {compressPrefix(message.SerializeAsString())};
}

// Messages that are written one after the other are read as one message with the fields of both.
std::string encodeTableReadResult(const EncodedTableRows &rows, const TableReadResult &result)
{
    wire::TableCopy message;
    message.set_up_to(result.asOfVersion.version.value());
    message.set_era(result.asOfVersion.era.value());
    message.set_table_ms(result.tableTime.time_since_epoch().count());
    message.set_age_ms(static_cast<std::uint32_t>(std::max<Milliseconds::rep>(0, result.age.count())));
    message.set_held_ms(static_cast<std::uint32_t>(std::max<Milliseconds::rep>(0, result.holdTime.count())));
    if (result.confirmedAge)
        message.set_confirmed_age_ms(
                static_cast<std::uint32_t>(std::clamp<Milliseconds::rep>(result.confirmedAge->count(), 0, maxAge)));
    return completeCompressed(rows.bytes, message.SerializeAsString());
}

absl::StatusOr<TableReadResult> decodeTableReadResult(absl::string_view bytes)
{
    const auto decompressed = decompressBytes(bytes, maxDecompressedSize);
    if (!decompressed.ok())
        return decompressed.status();
    const auto message = parseMessage<wire::TableCopy>(*decompressed, ErrorKind::InvalidMessage, "a copy of a table");
    if (!message.ok())
        return message.status();
    TableReadResult result;
    for (const wire::TableRow &row : message->rows())
        result.rows.push_back({RowKey(row.key()), RowVersion(row.version()), row.value()});
    for (const std::string &key : message->removed())
        result.removed.emplace_back(key);
    result.asOfVersion = {StoreEra(message->era()), RowVersion(message->up_to())};
    result.tableTime = WallTime(Milliseconds(message->table_ms()));
    result.age = Milliseconds(message->age_ms());
    result.holdTime = Milliseconds(message->held_ms());
    if (message->has_confirmed_age_ms())
        result.confirmedAge = Milliseconds(message->confirmed_age_ms());
    return result;
}

} // namespace dandeliondock
