#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <compare>

namespace dandeliondock {

/// \brief Lifecycle state of a target. Between records of the same incarnation and sequence, the later value wins.
enum class EndpointState { Starting, Serving, Leaving, Gone };

/// \brief Orders the records of one target: a record replaces one with a lower stamp.
struct EndpointStamp
{
    Incarnation incarnation;
    SequenceNumber sequence;
    EndpointState state = EndpointState::Starting;

    auto operator<=>(const EndpointStamp &) const = default;
};

/// \brief Record of a target, as announced by the node on its instance.
struct Endpoint
{
    TargetId target;
    EndpointStamp stamp;
    Address address;        ///< of the target
    Address controlAddress; ///< of the node on the target's instance
    ServiceName service;
    VersionName version;
    RegionName region;
    DataCentreName dataCentre;
    SlotCount slots;

    bool operator==(const Endpoint &) const = default;
};

} // namespace dandeliondock
