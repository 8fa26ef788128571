#pragma once

#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/store/async_table.h>

namespace dandeliondock {

/// \brief Returns hooks that keep a commit from taking effect, or from being taken for successful, when the version in
/// one of its conditions is of another era than the table. The platform compares versions only, and gives the lost ones
/// out again when it comes back from an older copy.
///
/// \remark Such a commit fails its condition if the era is known to be over, and has the error OutcomeUnknown if the
/// response shows that it is; the caller reads the row again in either case. The hooks belong to the thread of \c loop.
/// \pre \c loop outlives the hooks.
[[nodiscard]] AsyncTableHooks eraCheckedTable(EventLoop &loop, AsyncTableHooks table);

} // namespace dandeliondock
