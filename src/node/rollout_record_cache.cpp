#include <dandeliondock/node/rollout_record_cache.h>

#include <utility>

namespace dandeliondock {

namespace {

constexpr std::size_t recordsPerService = 2;

} // namespace

std::vector<RolloutRecord> RolloutRecordCache::merge(const std::vector<RolloutRecord> &records)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<RolloutRecord> changed;
    for (const RolloutRecord &record : records) {
        std::map<TicketNumber, RolloutRecord> &serviceRecords = m_records[record.service];
        const bool isSuperseded =
                serviceRecords.size() >= recordsPerService && record.ticket < serviceRecords.begin()->first;
        if (isSuperseded)
            continue;
        const auto [entry, inserted] = serviceRecords.try_emplace(record.ticket, record);
        const RolloutRecord merged = inserted ? record : mergeRecords(entry->second, record);
        if (!inserted && merged == entry->second)
            continue;
        entry->second = merged;
        changed.push_back(merged);
        if (serviceRecords.size() > recordsPerService)
            serviceRecords.erase(serviceRecords.begin());
    }
    return changed;
}

std::vector<RolloutRecord> RolloutRecordCache::records() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<RolloutRecord> all;
    for (const auto &[service, serviceRecords] : m_records) {
        for (const auto &[ticket, record] : serviceRecords)
            all.push_back(record);
    }
    return all;
}

void RolloutRecordCache::setOutcomes(OutcomeBatch batch)
{
    const std::scoped_lock lock(m_mutex);
    m_outcomes = std::move(batch);
}

std::optional<OutcomeBatch> RolloutRecordCache::outcomes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_outcomes;
}

void RolloutRecordCache::outcomesAcknowledged(SequenceNumber sequence)
{
    const std::scoped_lock lock(m_mutex);
    if (m_outcomes && m_outcomes->sequence == sequence)
        m_outcomes.reset();
}

void RolloutRecordCache::dropOutcomes()
{
    const std::scoped_lock lock(m_mutex);
    m_outcomes.reset();
}

} // namespace dandeliondock
