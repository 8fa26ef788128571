#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/core/units.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace dandeliondock {

/// \brief Largest decompressed size of a snapshot that is decoded.
inline constexpr ByteCount maxSnapshotSize{64U << 20U};

/// \brief Returns the compressed form of a complete state. Thread-safe.
[[nodiscard]] std::string encodeSnapshot(const ConfigState &state);

/// \brief Decodes a state from its compressed form. Thread-safe.
/// \return InvalidMessage if the bytes are damaged or longer than maxSnapshotSize when decompressed; the errors of
/// ConfigState::fromSnapshot() if the state is invalid.
[[nodiscard]] absl::StatusOr<ConfigState> decodeSnapshot(absl::string_view bytes);

} // namespace dandeliondock
