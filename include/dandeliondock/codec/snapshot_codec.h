#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/core/units.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace dandeliondock {

/// \brief Longest decompressed form of a state that is read.
inline constexpr ByteCount maxSnapshotSize{64U << 20U};

/// \brief The compressed form of a whole state. Thread-safe.
[[nodiscard]] std::string encodeSnapshot(const ConfigState &state);

/// \brief A state from its compressed form. Thread-safe.
/// \return InvalidMessage when the bytes are damaged or longer than maxSnapshotSize once decompressed.
[[nodiscard]] absl::StatusOr<ConfigState> decodeSnapshot(absl::string_view bytes);

} // namespace dandeliondock
