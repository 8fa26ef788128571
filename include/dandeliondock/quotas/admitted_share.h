#pragma once

#include <dandeliondock/accounts/client_account.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/quotas/account_usage.h>
#include <dandeliondock/quotas/quota_bounds.h>

namespace dandeliondock {

/// \brief Returns the part of an account's requests that may be admitted from now on, so that the admitted requests of
/// each window stay near rate x window and parts of the burst and the slack. Thread-safe.
///
/// \param usage estimated usage at present, of all proxies that follow the result.
/// \param weight part of the quota that these proxies may use, above 0 and at most 1.
[[nodiscard]] Share admittedShare(const RequestQuota &quota, const QuotaBounds &bounds, const AccountUsage &usage,
                                  double weight);

} // namespace dandeliondock
