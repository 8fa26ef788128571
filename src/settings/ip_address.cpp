#include <dandeliondock/settings/ip_address.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <arpa/inet.h>

#include <array>

namespace dandeliondock {

namespace {

constexpr std::uint32_t maxPort = 65'535;

bool isUnspecified(const std::string &ip)
{
    return ip == "0.0.0.0" || ip == "::";
}

std::optional<std::string> parseFamily(int family, const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    std::array<char, INET6_ADDRSTRLEN> canonical{};
    if (text.find('\0') != std::string::npos || inet_pton(family, text.c_str(), binary.data()) != 1)
        return std::nullopt;
    if (inet_ntop(family, binary.data(), canonical.data(), canonical.size()) == nullptr)
        return std::nullopt;
    return std::string(canonical.data());
}

} // namespace

std::optional<std::string> parseIp(absl::string_view text)
{
    const std::string address(text);
    if (std::optional<std::string> ip = parseFamily(AF_INET, address))
        return ip;
    return parseFamily(AF_INET6, address);
}

std::optional<IpEndpoint> parseIpEndpoint(absl::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == absl::string_view::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port))
        return std::nullopt;
    if (port == 0 || port > maxPort)
        return std::nullopt;
    absl::string_view host = text.substr(0, colon);
    const bool isBracketed = absl::ConsumePrefix(&host, "[") && absl::ConsumeSuffix(&host, "]");
    const std::optional<std::string> ip = parseIp(host);
    if (!ip || isBracketed != absl::StrContains(*ip, ":"))
        return std::nullopt;
    return IpEndpoint{*ip, static_cast<std::uint16_t>(port)};
}

bool overlap(const IpEndpoint &left, const IpEndpoint &right)
{
    if (left.port == 0 || left.port != right.port)
        return false;
    return left.ip == right.ip || isUnspecified(left.ip) || isUnspecified(right.ip);
}

} // namespace dandeliondock
