#include <dandeliondock/rollout/rollout_table.h>

namespace dandeliondock {

namespace {

constexpr Stage closedStage{noShare, noShare};

const Service *serviceIn(const StampedResource &stamped)
{
    return stamped.resource ? std::get_if<Service>(&*stamped.resource) : nullptr;
}

} // namespace

std::vector<RolloutDefinition> rolloutsOf(const ConfigState &state)
{
    std::vector<RolloutDefinition> rollouts;
    for (const auto &[key, stamped] : state.resources()) {
        const Service *service = serviceIn(stamped);
        if (service != nullptr && service->previousVersion && service->rollout)
            rollouts.push_back(
                    {stamped.ticket, service->name, *service->previousVersion, service->version, *service->rollout});
    }
    return rollouts;
}

void RolloutTable::configure(const ConfigState &state)
{
    m_configured.clear();
    for (const auto &[key, stamped] : state.resources()) {
        if (key.kind == ResourceKind::Service)
            m_configured[ServiceName(key.name)] = stamped.ticket;
    }
    for (const auto &[service, ticket] : m_configured)
        dropBelow(service, ticket);
    m_definitions.clear();
    std::set<TicketNumber> stillStopped;
    for (RolloutDefinition &definition : rolloutsOf(state)) {
        if (m_stopped.contains(definition.ticket))
            stillStopped.insert(definition.ticket);
        m_definitions[definition.service] = std::move(definition);
    }
    m_stopped = std::move(stillStopped);
}

bool RolloutTable::merge(const RolloutRecord &record)
{
    if (isSuperseded(record))
        return false;
    Records &records = m_records[record.service];
    const auto held = records.find(record.ticket);
    if (held == records.end() && (m_size >= rolloutRecordLimit || records.size() >= serviceRecordLimit)) {
        if (records.empty())
            m_records.erase(record.service);
        return false;
    }
    const RolloutRecord merged = held == records.end() ? record : mergeRecords(held->second.record, record);
    if (held != records.end() && merged == held->second.record)
        return false;
    m_size += held == records.end() ? 1 : 0;
    m_lastChange = ChangeNumber(m_lastChange.value() + 1);
    records[record.ticket] = {merged, m_lastChange};
    return true;
}

void RolloutTable::stopLocally(TicketNumber ticket)
{
    m_stopped.insert(ticket);
}

std::optional<RolloutRecord> RolloutTable::record(const ServiceName &service, TicketNumber ticket) const
{
    const auto records = m_records.find(service);
    if (records == m_records.end())
        return std::nullopt;
    const auto held = records->second.find(ticket);
    if (held == records->second.end())
        return std::nullopt;
    return held->second.record;
}

std::vector<RolloutRecord> RolloutTable::changesSince(ChangeNumber since) const
{
    std::vector<RolloutRecord> changes;
    for (const auto &[service, records] : m_records) {
        for (const auto &[ticket, held] : records) {
            if (held.changed > since)
                changes.push_back(held.record);
        }
    }
    return changes;
}

std::optional<VersionSplit> RolloutTable::split(const Service &service, std::uint32_t newTargets) const
{
    if (!service.previousVersion)
        return std::nullopt;
    VersionSplit split{TicketNumber{}, *service.previousVersion, service.version, noShare, noShare};
    const auto definition = m_definitions.find(service.name);
    if (definition == m_definitions.end() || definition->second.newVersion != service.version)
        return split;
    const Stage stage = stageInForce(definition->second, newTargets);
    split.rollout = definition->second.ticket;
    split.newShare = stage.share;
    split.newTargetShare = stage.newTargetShare;
    return split;
}

bool RolloutTable::isSuperseded(const RolloutRecord &record) const
{
    const auto configured = m_configured.find(record.service);
    return configured != m_configured.end() && record.ticket < configured->second;
}

void RolloutTable::dropBelow(const ServiceName &service, TicketNumber ticket)
{
    const auto records = m_records.find(service);
    if (records == m_records.end())
        return;
    m_size -= std::erase_if(records->second, [ticket](const auto &entry) { return entry.first < ticket; });
    if (records->second.empty())
        m_records.erase(records);
}

Stage RolloutTable::stageInForce(const RolloutDefinition &definition, std::uint32_t newTargets) const
{
    const std::optional<RolloutRecord> held = record(definition.service, definition.ticket);
    if (!held || held->state == RolloutState::RolledBack)
        return closedStage;
    if (held->state == RolloutState::Completed)
        return {fullShare, fullShare};
    if (m_stopped.contains(definition.ticket))
        return closedStage;
    return StagePlan(definition.plan, newTargets).stage(held->stage);
}

} // namespace dandeliondock
