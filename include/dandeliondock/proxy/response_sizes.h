#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>

namespace dandeliondock {

/// \brief Learns the mean size of the responses of each route.
///
/// \remark Not thread-safe.
class ResponseSizes
{
public:
    /// \brief Records the size of the body of a response.
    void record(const RouteName &route, std::size_t bytes);

    /// \brief Returns the mean size of recent responses of a route; 0 bytes if none are known.
    [[nodiscard]] ByteCount mean(const RouteName &route) const;

    /// \brief Forgets the routes for which \c isKnown returns false.
    void retain(const std::function<bool(const RouteName &)> &isKnown);

private:
    absl::flat_hash_map<RouteName, double> m_means;
};

} // namespace dandeliondock
