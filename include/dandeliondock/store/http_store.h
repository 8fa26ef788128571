#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/store/store_hooks.h>

#include <memory>

namespace dandeliondock {

/// \brief Returns hooks that access the table and object service over HTTP.
///
/// \remark The hooks keep \c client alive and are thread-safe. Each call ends after \c timeout at the latest.
[[nodiscard]] StoreHooks makeHttpStore(std::shared_ptr<HttpClient> client, Address address, Milliseconds timeout);

} // namespace dandeliondock
