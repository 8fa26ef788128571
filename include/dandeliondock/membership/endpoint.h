#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <compare>

namespace dandeliondock {

/// \brief Where a target is in its life. A later value wins within the same incarnation and sequence.
enum class EndpointState { Starting, Serving, Leaving, Gone };

/// \brief Order of announcements of one target: the higher one replaces the lower one.
struct EndpointStamp
{
    Incarnation incarnation;
    SequenceNumber sequence;
    EndpointState state = EndpointState::Starting;

    auto operator<=>(const EndpointStamp &) const = default;
};

/// \brief What is announced of a target.
struct Endpoint
{
    TargetId target;
    EndpointStamp stamp;
    Address address;        ///< of the target
    Address controlAddress; ///< of the node beside it
    ServiceName service;
    VersionName version;
    RegionName region;
    DataCentreName dataCentre;
    SlotCount slots;

    bool operator==(const Endpoint &) const = default;
};

} // namespace dandeliondock
