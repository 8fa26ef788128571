#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/rollout/rollout_record.h>
#include <dandeliondock/rollout/stage_plan.h>
#include <dandeliondock/routing/routing_hooks.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dandeliondock {

/// \brief Position in the change order of one RolloutTable; 0 is before the first change.
using ChangeNumber = StrongType<struct ChangeNumberTag, std::uint64_t>;

/// \brief A rollout as the configuration defines it.
struct RolloutDefinition
{
    TicketNumber ticket;
    ServiceName service;
    VersionName oldVersion;
    VersionName newVersion;
    RolloutPlan plan;

    bool operator==(const RolloutDefinition &) const = default;
};

/// \brief Returns the rollouts of a configuration, ordered by service name. Thread-safe.
[[nodiscard]] std::vector<RolloutDefinition> rolloutsOf(const ConfigState &state);

/// \brief Maximum number of records held: two for each service at the maximum number of services, rounded up.
inline constexpr std::size_t rolloutRecordLimit = 8'192;
/// \brief Maximum number of records held for one service: that of the ticket in force and those that arrive before
/// their configuration.
///
/// \remark A record above the limit is rejected, and no older one is dropped to make room: if the record of a rollback
/// were dropped, a late record of the same rollout could give the new version a share again.
inline constexpr std::size_t serviceRecordLimit = 8;

/// \brief The rollout records that a node holds, and the traffic split between versions that results from them.
///
/// \remark Used by one thread only.
class RolloutTable
{
public:
    /// \brief Applies the rollouts of a newer configuration and drops the records that its tickets supersede.
    void configure(const ConfigState &state);

    /// \brief Merges a record.
    ///
    /// \return False when nothing changed, the record's ticket is superseded or the table is full.
    bool merge(const RolloutRecord &record);

    /// \brief Stops this node's traffic to the new version of a rollout until the rollout is completed.
    void stopLocally(TicketNumber ticket);

    /// \brief Returns the record of a ticket; empty if there is none.
    [[nodiscard]] std::optional<RolloutRecord> record(const ServiceName &service, TicketNumber ticket) const;

    [[nodiscard]] const std::map<ServiceName, RolloutDefinition> &definitions() const noexcept { return m_definitions; }

    /// \brief Returns the records that changed after \c since, to be relayed to the parent and the children.
    [[nodiscard]] std::vector<RolloutRecord> changesSince(ChangeNumber since) const;

    [[nodiscard]] ChangeNumber lastChange() const noexcept { return m_lastChange; }

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

    /// \brief Returns the current traffic split; empty when the service has no previous version, so that its version
    /// receives all traffic.
    ///
    /// \remark Without a record, or when \c service does not match the configuration applied last, the old version
    /// receives all traffic.
    [[nodiscard]] std::optional<VersionSplit> split(const Service &service, std::uint32_t newTargets) const;

private:
    struct Entry
    {
        RolloutRecord record;
        ChangeNumber changedIn;
    };
    using Records = std::map<TicketNumber, Entry>;

    [[nodiscard]] bool isSuperseded(const RolloutRecord &record) const;
    void dropOlderThan(const ServiceName &service, TicketNumber ticket);
    [[nodiscard]] Stage effectiveStage(const RolloutDefinition &definition, std::uint32_t newTargets) const;

    std::map<ServiceName, TicketNumber> m_configured; ///< last ticket that changed each service
    std::map<ServiceName, RolloutDefinition> m_definitions;
    std::map<ServiceName, Records> m_records;
    std::set<TicketNumber> m_locallyStopped;
    std::size_t m_size = 0;
    ChangeNumber m_lastChange;
};

} // namespace dandeliondock
