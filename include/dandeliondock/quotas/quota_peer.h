#pragma once

#include <dandeliondock/core/ids.h>

#include <vector>

namespace dandeliondock {

/// \brief A serving proxy, as listed in the shared table.
struct QuotaPeer
{
    DataCentreName dataCentre;
    Address address; ///< inbound address

    auto operator<=>(const QuotaPeer &) const = default;
};

using QuotaPeers = std::vector<QuotaPeer>;

} // namespace dandeliondock
