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

} // namespace dandeliondock
