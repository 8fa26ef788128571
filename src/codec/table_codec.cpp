#include <dandeliondock/codec/compression.h>
#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/codec/table_codec.h>

#include <proxy.pb.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr ByteCount largestCopy{67'108'864};

} // namespace

std::string encodeTablePoll(const TablePoll &poll)
{
    wire::TablePoll message;
    message.set_table(poll.table.value());
    message.set_after(poll.after.value());
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
    return TablePoll{TableName(message->table()), RowVersion(message->after()), message->whole()};
}

std::string encodeTableReadResult(const TableReadResult &reading)
{
    wire::TableCopy message;
    for (const TableRow &row : reading.rows) {
        wire::TableRow &added = *message.add_rows();
        added.set_key(row.key.value());
        added.set_version(row.version.value());
        added.set_value(row.value);
    }
    for (const RowKey &key : reading.removed)
        message.add_removed(key.value());
    message.set_up_to(reading.asOfVersion.value());
    message.set_table_ms(reading.tableTime.time_since_epoch().count());
    message.set_age_ms(static_cast<std::uint32_t>(std::max<Milliseconds::rep>(0, reading.age.count())));
    message.set_held_ms(static_cast<std::uint32_t>(std::max<Milliseconds::rep>(0, reading.holdTime.count())));
    return compressBytes(message.SerializeAsString());
}

absl::StatusOr<TableReadResult> decodeTableReadResult(absl::string_view bytes)
{
    const auto plain = decompressBytes(bytes, largestCopy);
    if (!plain.ok())
        return plain.status();
    const auto message = parseMessage<wire::TableCopy>(*plain, ErrorKind::InvalidMessage, "a copy of a table");
    if (!message.ok())
        return message.status();
    TableReadResult reading;
    for (const wire::TableRow &row : message->rows())
        reading.rows.push_back({RowKey(row.key()), RowVersion(row.version()), row.value()});
    for (const std::string &key : message->removed())
        reading.removed.emplace_back(key);
    reading.asOfVersion = RowVersion(message->up_to());
    reading.tableTime = WallTime(Milliseconds(message->table_ms()));
    reading.age = Milliseconds(message->age_ms());
    reading.holdTime = Milliseconds(message->held_ms());
    return reading;
}

} // namespace dandeliondock
