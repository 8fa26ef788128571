#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <vector>

namespace dandeliondock {

/// \brief Requests of one client account at one proxy, or at several proxies together.
struct AccountUsage
{
    AccountName account;
    RequestRate offered;            ///< recent rate of the requests that arrived, refused ones included
    RequestRate admitted;           ///< recent rate of the requests that were admitted
    RequestAmount admittedInWindow; ///< admitted in the last quota window and not refunded

    bool operator==(const AccountUsage &) const = default;
};

/// \brief Usage of the accounts that have a quota and had traffic in the last quota window.
using AccountUsages = std::vector<AccountUsage>;

} // namespace dandeliondock
