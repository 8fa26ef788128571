#pragma once

#include <dandeliondock/core/units.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>

namespace dandeliondock {

/// \brief Returns \c bytes compressed with zlib. Thread-safe.
[[nodiscard]] std::string compressBytes(absl::string_view bytes);

/// \brief The beginning of a zlib stream, to which different ends can be added.
struct CompressedPrefix
{
    std::string bytes;
    ByteCount contentSize;
    std::uint32_t checksum = 0; ///< Adler-32 of the content
};

/// \brief Returns \c bytes compressed as the beginning of a zlib stream. Thread-safe.
[[nodiscard]] CompressedPrefix compressPrefix(absl::string_view bytes);

/// \brief Returns the zlib stream of the content of \c prefix followed by \c tail. The tail is not compressed, so that
/// this costs little more than a copy of the bytes. Thread-safe.
/// \pre \c tail is shorter than 64 KiB.
[[nodiscard]] std::string completeCompressed(const CompressedPrefix &prefix, absl::string_view tail);

/// \brief Returns the content of a zlib stream as compressBytes() and completeCompressed() write it. Thread-safe.
/// \return InvalidMessage if \c bytes is not exactly one complete zlib stream or its content is longer than \c limit.
[[nodiscard]] absl::StatusOr<std::string> decompressBytes(absl::string_view bytes, ByteCount limit);

} // namespace dandeliondock
