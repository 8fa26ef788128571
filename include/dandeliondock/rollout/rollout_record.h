#pragma once

#include <dandeliondock/core/ids.h>

#include <cstdint>
#include <string>

namespace dandeliondock {

/// \brief State of a rollout. In a merge, a later value wins over an earlier one, whatever the stages.
enum class RolloutState { Running, Completed, RolledBack };

/// \brief Index of a stage in a rollout's plan, from 0.
using StageIndex = StrongType<struct StageIndexTag, std::uint32_t>;

/// \brief Progress of a rollout, as exchanged between nodes; merged by mergeRecords().
struct RolloutRecord
{
    TicketNumber ticket; ///< the ticket that started the rollout
    ServiceName service;
    StageIndex stage;
    RolloutState state = RolloutState::Running;
    std::string reason; ///< why it was rolled back

    bool operator==(const RolloutRecord &) const = default;
};

/// \brief Merges two records: the higher state wins with its reason, and the higher stage wins.
///
/// \remark Commutative, associative and idempotent, so records may be reordered, repeated and delayed. Thread-safe.
/// \pre Both records belong to the same ticket.
[[nodiscard]] RolloutRecord mergeRecords(const RolloutRecord &left, const RolloutRecord &right);

} // namespace dandeliondock
