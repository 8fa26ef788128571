#pragma once

#include <dandeliondock/core/units.h>

namespace dandeliondock {

/// \brief Interval between the reports of a proxy while no account is limited. A collector serves the reports of all
/// proxies of its data centre with a tenth of a core.
inline constexpr Milliseconds quotaReportInterval{300};
/// \brief Interval while an account is limited.
inline constexpr Milliseconds limitedQuotaReportInterval{250};

} // namespace dandeliondock
