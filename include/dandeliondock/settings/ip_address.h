#pragma once

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>

namespace dandeliondock {

/// \brief An IP address in canonical form and a port.
struct IpEndpoint
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const IpEndpoint &) const = default;
};

/// \brief Returns the canonical form of an IPv4 or IPv6 address, or nothing if \c text is not one. Thread-safe.
[[nodiscard]] std::optional<std::string> parseIp(absl::string_view text);

/// \brief Parses an address such as 10.0.0.1:80 or [fd00::1]:80. Thread-safe.
/// \return Nothing if \c text has neither form or the port is 0.
[[nodiscard]] std::optional<IpEndpoint> parseIpEndpoint(absl::string_view text);

/// \brief Whether two listeners, or a listener and a remote address, conflict: their ports are equal and not 0, and
/// their IP addresses are equal or one of them is unspecified (0.0.0.0 or ::). Thread-safe.
[[nodiscard]] bool overlap(const IpEndpoint &left, const IpEndpoint &right);

} // namespace dandeliondock
