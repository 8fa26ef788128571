#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace dandeliondock::impl {

struct ListenSocket
{
    int descriptor = -1;
    std::uint16_t port = 0;
};

/// \brief Listens on an IPv4 address; port 0 selects a free port. The caller closes the descriptor. Thread-safe.
/// \return InvalidSettings when the address cannot be used.
[[nodiscard]] absl::StatusOr<ListenSocket> openListenSocket(const std::string &address, std::uint16_t port);

} // namespace dandeliondock::impl
