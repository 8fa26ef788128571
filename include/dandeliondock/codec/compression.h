#pragma once

#include <dandeliondock/core/units.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace dandeliondock {

/// \brief Compresses with zlib. Thread-safe.
[[nodiscard]] std::string compressBytes(absl::string_view bytes);

/// \brief Reverses compressBytes(). Thread-safe.
/// \return InvalidMessage when \c bytes is no whole zlib stream or its content is longer than \c limit.
[[nodiscard]] absl::StatusOr<std::string> decompressBytes(absl::string_view bytes, ByteCount limit);

} // namespace dandeliondock
