#include <dandeliondock/codec/snapshot_codec.h>

#include <dandeliondock/codec/compression.h>
#include <dandeliondock/codec/config_codec.h>
#include <dandeliondock/codec/protobuf_codec.h>

namespace dandeliondock {

std::string encodeSnapshot(const ConfigState &state)
{
    return compressBytes(encodeState(state).SerializeAsString());
}

absl::StatusOr<ConfigState> decodeSnapshot(absl::string_view bytes)
{
    const absl::StatusOr<std::string> decompressed = decompressBytes(bytes, maxSnapshotSize);
    if (!decompressed.ok())
        return decompressed.status();
    const auto message = parseMessage<wire::ConfigState>(*decompressed, ErrorKind::InvalidMessage, "the snapshot");
    if (!message.ok())
        return message.status();
    return decodeState(*message);
}

} // namespace dandeliondock
