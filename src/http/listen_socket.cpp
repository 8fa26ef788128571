#include "listen_socket.h"

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace dandeliondock::impl {

absl::StatusOr<ListenSocket> openListenSocket(const std::string &address, std::uint16_t port)
{
    struct sockaddr_in bound = {};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &bound.sin_addr) != 1)
        return makeError(ErrorKind::InvalidSettings, absl::StrCat("'", address, "' is not an IPv4 address"));
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    socklen_t size = sizeof bound;
    auto *genericAddress = reinterpret_cast<struct sockaddr *>(&bound);
    if (bind(listener, genericAddress, size) != 0 || listen(listener, SOMAXCONN) != 0
        || getsockname(listener, genericAddress, &size) != 0) {
        const std::string reason = std::strerror(errno);
        close(listener);
        return makeError(ErrorKind::InvalidSettings,
                         absl::StrCat("cannot listen on ", address, ":", port, ": ", reason));
    }
    return ListenSocket{listener, ntohs(bound.sin_port)};
}

} // namespace dandeliondock::impl
