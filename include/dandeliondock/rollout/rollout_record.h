#pragma once

#include <dandeliondock/core/ids.h>

#include <cstdint>
#include <string>

namespace dandeliondock {

/// \brief State of a rollout. A later value wins over an earlier one, whatever the stage.
enum class RolloutState { Running, Completed, RolledBack };

/// \brief Position of a stage in a rollout's plan, from 0.
using StageIndex = StrongType<struct StageIndexTag, std::uint32_t>;

/// \brief What nodes tell each other of a rollout; merged by mergeRecords().
struct RolloutRecord
{
    TicketNumber ticket; ///< the ticket that started the rollout
    ServiceName service;
    StageIndex stage;
    RolloutState state = RolloutState::Running;
    std::string reason; ///< why it was rolled back

    bool operator==(const RolloutRecord &) const = default;
};

/// \brief Join of two records: the higher state wins with its reason, and the higher stage wins.
///
/// \remark Commutative, associative and idempotent, so records may cross, repeat and arrive late. Thread-safe.
/// \pre Both records are of the same ticket.
[[nodiscard]] RolloutRecord mergeRecords(const RolloutRecord &left, const RolloutRecord &right);

} // namespace dandeliondock
