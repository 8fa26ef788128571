#include <dandeliondock/rollout/rollout_table.h>

namespace dandeliondock {

namespace {

constexpr Stage noTrafficStage{noShare, noShare};

const Service *serviceOf(const StampedResource &stamped)
{
    return stamped.resource ? std::get_if<Service>(&*stamped.resource) : nullptr;
}

} // namespace

std::vector<RolloutDefinition> rolloutsOf(const ConfigState &state)
{
    std::vector<RolloutDefinition> rollouts;
    for (const auto &[key, stamped] : state.resources()) {
        const Service *service = serviceOf(stamped);
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
        dropOlderThan(service, ticket);
    m_definitions.clear();
    std::set<TicketNumber> stillStopped;
    for (RolloutDefinition &definition : rolloutsOf(state)) {
        if (m_locallyStopped.contains(definition.ticket))
            stillStopped.insert(definition.ticket);
        m_definitions[definition.service] = std::move(definition);
    }
    m_locallyStopped = std::move(stillStopped);
}

bool RolloutTable::merge(const RolloutRecord &record)
{
    if (isSuperseded(record))
        return false;
    Records &records = m_records[record.service];
    const auto existing = records.find(record.ticket);
    if (existing == records.end() && (m_size >= rolloutRecordLimit || records.size() >= serviceRecordLimit)) {
        if (records.empty())
            m_records.erase(record.service);
        return false;
    }
    const RolloutRecord merged = existing == records.end() ? record : mergeRecords(existing->second.record, record);
    if (existing != records.end() && merged == existing->second.record)
        return false;
    m_size += existing == records.end() ? 1 : 0;
    m_lastChange = ChangeNumber(m_lastChange.value() + 1);
    records[record.ticket] = {merged, m_lastChange};
    return true;
}

void RolloutTable::stopLocally(TicketNumber ticket)
{
    m_locallyStopped.insert(ticket);
}

std::optional<RolloutRecord> RolloutTable::record(const ServiceName &service, TicketNumber ticket) const
{
    const auto records = m_records.find(service);
    if (records == m_records.end())
        return std::nullopt;
    const auto found = records->second.find(ticket);
    if (found == records->second.end())
        return std::nullopt;
    return found->second.record;
}

std::vector<RolloutRecord> RolloutTable::changesSince(ChangeNumber since) const
{
    std::vector<RolloutRecord> changes;
    for (const auto &[service, records] : m_records) {
        for (const auto &[ticket, entry] : records) {
            if (entry.changedIn > since)
                changes.push_back(entry.record);
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
    const Stage stage = effectiveStage(definition->second, newTargets);
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

void RolloutTable::dropOlderThan(const ServiceName &service, TicketNumber ticket)
{
    const auto records = m_records.find(service);
    if (records == m_records.end())
        return;
    m_size -= std::erase_if(records->second, [ticket](const auto &entry) { return entry.first < ticket; });
    if (records->second.empty())
        m_records.erase(records);
}

Stage RolloutTable::effectiveStage(const RolloutDefinition &definition, std::uint32_t newTargets) const
{
    const std::optional<RolloutRecord> current = record(definition.service, definition.ticket);
    if (!current || current->state == RolloutState::RolledBack)
        return noTrafficStage;
    if (current->state == RolloutState::Completed)
        return {fullShare, fullShare};
    if (m_locallyStopped.contains(definition.ticket))
        return noTrafficStage;
    return StagePlan(definition.plan, newTargets).stage(current->stage);
}

} // namespace dandeliondock
