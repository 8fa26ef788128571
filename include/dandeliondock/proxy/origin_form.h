#pragma once

#include <dandeliondock/http/message.h>

namespace dandeliondock {

/// \brief Replaces a target in absolute form (http://host/path) by its path and query, and the Host header by its
/// host, which takes precedence (RFC 9112, sections 3.2.2 and 3.3). Any other target is left as it is. Thread-safe.
void useOriginForm(HttpRequest &request);

} // namespace dandeliondock
