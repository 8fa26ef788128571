#pragma once

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>

namespace dandeliondock {

/// \brief An IP number in its canonical spelling and a port.
struct IpEndpoint
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const IpEndpoint &) const = default;
};

/// \brief Canonical spelling of an IP number of version 4 or 6; empty when it is none. Thread-safe.
[[nodiscard]] std::optional<std::string> parseIp(absl::string_view text);

/// \brief Parses 10.0.0.1:80 or [fd00::1]:80; empty when it is neither or the port is 0. Thread-safe.
[[nodiscard]] std::optional<IpEndpoint> parseIpEndpoint(absl::string_view text);

/// \brief Whether two listeners, or a listener and an address, cannot both be used; an unspecified IP number overlaps
/// every other one. Thread-safe.
[[nodiscard]] bool overlap(const IpEndpoint &left, const IpEndpoint &right);

} // namespace dandeliondock
