#pragma once

#include <dandeliondock/proxy/proxy_config.h>
#include <dandeliondock/proxy/service_versions.h>
#include <dandeliondock/store/async_table.h>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <variant>

namespace dandeliondock {

/// \brief Order that the targets of a data centre get no requests until the row is removed.
struct EvacuationOrder
{
    DataCentreName dataCentre;
};

/// \brief Decoded row of the operator's table; std::monostate for a row that does not concern a proxy.
using OperatorDocument = std::variant<std::monostate, ProxyConfigPtr, RolloutOrder, EvacuationOrder>;

/// \brief Hooks that decode rows of the operator's table and encode status rows, provided by an adapter.
///
/// \remark The hooks are called on the control duty's thread.
struct OperatorTableCodec
{
    TableName table;
    /// Decodes a row that was read in an era of the table. Returns InvalidRow when the row cannot be used; the last
    /// valid one stays in force.
    std::function<absl::StatusOr<OperatorDocument>(const TableRow &, StoreEra)> read;
    /// Returns the data centre that a row with this key evacuates; empty for any other key. Removed rows have no value,
    /// so that only their key tells what ended.
    std::function<std::optional<DataCentreName>(const RowKey &)> evacuatedDataCentre;
    /// Returns the write of the row that reports the state of a rollout to the operator.
    std::function<TableWrite(const ServiceName &, const VersionName &target, RolloutState)> status;
};

} // namespace dandeliondock
