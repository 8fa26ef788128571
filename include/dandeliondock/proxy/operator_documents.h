#pragma once

#include <dandeliondock/proxy/proxy_config.h>
#include <dandeliondock/proxy/service_versions.h>
#include <dandeliondock/store/async_table.h>

#include <absl/status/statusor.h>

#include <functional>
#include <variant>

namespace dandeliondock {

/// \brief What a row of the operator's table holds; nothing that concerns a proxy for std::monostate.
using OperatorDocument = std::variant<std::monostate, ProxyConfigPtr, RolloutOrder>;

/// \brief How the operator's rows are read and answered. An adapter fills the hooks in.
///
/// \remark Hooks are called on the thread of the control duty.
struct OperatorTableCodec
{
    TableName table;
    /// InvalidRow when the row cannot be used; the last good one stays in force.
    std::function<absl::StatusOr<OperatorDocument>(const TableRow &)> read;
    /// The row that tells the operator how a rollout stands.
    std::function<TableWrite(const ServiceName &, const VersionName &target, RolloutState)> status;
};

} // namespace dandeliondock
