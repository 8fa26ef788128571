#pragma once

#include <dandeliondock/core/strong_type.h>

#include <cstdint>
#include <string>

namespace dandeliondock {

/// \brief Number that an operator assigns to a ticket; never reused.
using TicketNumber = StrongType<struct TicketNumberTag, std::uint64_t>;
/// \brief Position of an accepted ticket in the order of acceptance, without gaps; 0 is the empty configuration.
using RevisionNumber = StrongType<struct RevisionNumberTag, std::uint64_t>;
/// \brief Version of a row of the platform's table; 0 stands for an absent row.
using RowVersion = StrongType<struct RowVersionTag, std::uint64_t>;
/// \brief Fencing token of a lease; increases with every new holder.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;
/// \brief Incarnation of a process or of an announcement; a higher one replaces a lower one.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// \brief Sequence number of an announcement within one incarnation.
using SequenceNumber = StrongType<struct SequenceNumberTag, std::uint64_t>;

using ServiceName = StrongType<struct ServiceNameTag, std::string>;
using VersionName = StrongType<struct VersionNameTag, std::string>;
using RouteName = StrongType<struct RouteNameTag, std::string>;
using TargetId = StrongType<struct TargetIdTag, std::string>;
using NodeId = StrongType<struct NodeIdTag, std::string>;
using RegionName = StrongType<struct RegionNameTag, std::string>;
using DataCentreName = StrongType<struct DataCentreNameTag, std::string>;
using DeploymentName = StrongType<struct DeploymentNameTag, std::string>;
/// \brief Name of a client account.
using AccountName = StrongType<struct AccountNameTag, std::string>;
using AuthorName = StrongType<struct AuthorNameTag, std::string>;
/// \brief An IPv4 address with a port, such as 127.0.0.1:8080.
using Address = StrongType<struct AddressTag, std::string>;
/// \brief Id of one request, set by its caller.
using RequestId = StrongType<struct RequestIdTag, std::string>;
/// \brief Key of a row of the platform's table.
using RowKey = StrongType<struct RowKeyTag, std::string>;

} // namespace dandeliondock
