#pragma once

#include <dandeliondock/core/units.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace dandeliondock {

/// \brief Returns \c bytes compressed with zlib. Thread-safe.
[[nodiscard]] std::string compressBytes(absl::string_view bytes);

/// \brief Returns the content of a zlib stream as compressBytes() writes it. Thread-safe.
/// \return InvalidMessage if \c bytes is not exactly one complete zlib stream or its content is longer than \c limit.
[[nodiscard]] absl::StatusOr<std::string> decompressBytes(absl::string_view bytes, ByteCount limit);

} // namespace dandeliondock
