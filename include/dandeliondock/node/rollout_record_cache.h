#pragma once

#include <dandeliondock/rollout/outcomes.h>
#include <dandeliondock/rollout/rollout_record.h>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Rollout records as the control threads relay them, and the batch of outcomes that waits for its poll.
///
/// \remark Every method is thread-safe. Of each service the records of the two latest tickets are held, so that the
/// memory is bounded by the number of services.
class RolloutRecordCache
{
public:
    /// \brief Merges records; returns those that changed.
    [[nodiscard]] std::vector<RolloutRecord> merge(const std::vector<RolloutRecord> &records);

    [[nodiscard]] std::vector<RolloutRecord> records() const;

    /// \brief Replaces the batch to send; empty after outcomesAcknowledged().
    void setOutcomes(OutcomeBatch batch);

    [[nodiscard]] std::optional<OutcomeBatch> outcomes() const;

    /// \brief Forgets the batch of this number, which the parent has taken.
    void outcomesAcknowledged(SequenceNumber sequence);

    /// \brief Forgets the batch, which a former parent may have taken.
    void dropOutcomes();

private:
    mutable std::mutex m_mutex;
    std::map<ServiceName, std::map<TicketNumber, RolloutRecord>> m_records;
    std::optional<OutcomeBatch> m_outcomes;
};

} // namespace dandeliondock
