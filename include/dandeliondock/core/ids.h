#pragma once

#include <dandeliondock/core/strong_type.h>

#include <cstdint>
#include <string>

namespace dandeliondock {

/// \brief Number that an operator gives to a ticket; unique for ever.
using TicketNumber = StrongType<struct TicketNumberTag, std::uint64_t>;
/// \brief Position of an accepted ticket in the dense order of acceptance; 0 is the empty state.
using RevisionNumber = StrongType<struct RevisionNumberTag, std::uint64_t>;
/// \brief Version of a row of the platform's table; 0 is an absent row.
using RowVersion = StrongType<struct RowVersionTag, std::uint64_t>;
/// \brief Fencing token of a lease; rises with every new holder.
using FencingToken = StrongType<struct FenceTag, std::uint64_t>;
/// \brief Life of a process or of an announcement; a higher one replaces a lower one.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// \brief Order of announcements within one incarnation.
using SequenceNumber = StrongType<struct SequenceNumberTag, std::uint64_t>;

using ServiceName = StrongType<struct ServiceNameTag, std::string>;
using VersionName = StrongType<struct VersionNameTag, std::string>;
using RouteName = StrongType<struct RouteNameTag, std::string>;
using TargetId = StrongType<struct TargetIdTag, std::string>;
using NodeId = StrongType<struct NodeIdTag, std::string>;
using RegionName = StrongType<struct RegionNameTag, std::string>;
using DataCentreName = StrongType<struct DataCentreNameTag, std::string>;
using DeploymentName = StrongType<struct DeploymentNameTag, std::string>;
using AuthorName = StrongType<struct AuthorNameTag, std::string>;
/// \brief An IP number and a port, such as 127.0.0.1:8080.
using Address = StrongType<struct AddressTag, std::string>;
/// \brief Identity of one request, as its caller chose it.
using RequestId = StrongType<struct RequestIdTag, std::string>;
/// \brief Key of a row of the platform's table.
using RowKey = StrongType<struct RowKeyTag, std::string>;

} // namespace dandeliondock
