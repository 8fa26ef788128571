#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/peer_message.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace dandeliondock {

namespace {

// Every header of the protocol between proxies begins with the reserved prefix.
constexpr absl::string_view reservedPrefix = "Dock-";
constexpr absl::string_view messageHeader = "Dock-Message";
constexpr std::array<absl::string_view, 4> kindNames = {"table", "outcomes", "quota_report", "quota_sums"};

} // namespace

HttpRequest encodePeerMessage(PeerMessageKind kind, std::string body)
{
    HttpRequest request{"POST", "/", {}, std::move(body)};
    request.headers.add(messageHeader, kindNames.at(static_cast<std::size_t>(kind)));
    return request;
}

absl::StatusOr<std::optional<PeerMessageKind>> peerMessageKind(const HttpRequest &request)
{
    const auto name = request.headers.first(messageHeader);
    if (!name)
        return std::nullopt;
    const auto found = std::find(kindNames.begin(), kindNames.end(), *name);
    if (found == kindNames.end())
        return makeError(ErrorKind::InvalidMessage, absl::StrCat(messageHeader, " names an unknown kind of message"));
    return static_cast<PeerMessageKind>(found - kindNames.begin());
}

void removeReservedHeaders(HttpHeaders &headers)
{
    headers.removeIf([](absl::string_view name) { return absl::StartsWithIgnoreCase(name, reservedPrefix); });
}

} // namespace dandeliondock
