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

/// \brief Position in the changes of a RolloutTable; 0 is before the first.
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

/// \brief The rollouts of a configuration, in the order of the services' names. Thread-safe.
[[nodiscard]] std::vector<RolloutDefinition> rolloutsOf(const ConfigState &state);

/// \brief Most records held; two for each of the largest number of services, rounded up.
inline constexpr std::size_t rolloutRecordLimit = 8'192;
/// \brief Most records held of one service: the ticket in force and those that arrive ahead of their configuration.
///
/// \remark A record past the limit is refused instead of an older one being dropped: a dropped rollback could be
/// followed by a late record that gives the version a share again.
inline constexpr std::size_t serviceRecordLimit = 8;

/// \brief The rollout records that a node holds, and the division of traffic that follows from them.
///
/// \remark Belongs to one thread.
class RolloutTable
{
public:
    /// \brief Takes the rollouts of a later configuration and drops the records that its tickets supersede.
    void configure(const ConfigState &state);

    /// \brief Merges a record; false when nothing changed, its ticket is superseded or the table is full.
    bool merge(const RolloutRecord &record);

    /// \brief Ends this node's own share of a rollout until it is completed.
    void stopLocally(TicketNumber ticket);

    /// \brief The record of a ticket, if held.
    [[nodiscard]] std::optional<RolloutRecord> record(const ServiceName &service, TicketNumber ticket) const;

    [[nodiscard]] const std::map<ServiceName, RolloutDefinition> &definitions() const noexcept { return m_definitions; }

    /// \brief Records changed after \c since, for relaying to parent and children.
    [[nodiscard]] std::vector<RolloutRecord> changesSince(ChangeNumber since) const;

    [[nodiscard]] ChangeNumber lastChange() const noexcept { return m_lastChange; }

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

    /// \brief The division in force; empty when the service's version carries everything.
    ///
    /// \remark Without a record, or when \c service does not match the configuration held, the old version carries all.
    [[nodiscard]] std::optional<VersionSplit> split(const Service &service, std::uint32_t newTargets) const;

private:
    struct HeldRecord
    {
        RolloutRecord record;
        ChangeNumber changed;
    };
    using Records = std::map<TicketNumber, HeldRecord>;

    [[nodiscard]] bool isSuperseded(const RolloutRecord &record) const;
    void dropBelow(const ServiceName &service, TicketNumber ticket);
    [[nodiscard]] Stage stageInForce(const RolloutDefinition &definition, std::uint32_t newTargets) const;

    std::map<ServiceName, TicketNumber> m_configured; ///< last ticket that set each service
    std::map<ServiceName, RolloutDefinition> m_definitions;
    std::map<ServiceName, Records> m_records;
    std::set<TicketNumber> m_stopped;
    std::size_t m_size = 0;
    ChangeNumber m_lastChange;
};

} // namespace dandeliondock
