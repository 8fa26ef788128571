#pragma once

#include <dandeliondock/rollout/outcomes.h>
#include <dandeliondock/rollout/rollout_record.h>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Rollout records that the control threads relay, and the outcome batch that is pending for the parent.
///
/// \remark Every method is thread-safe. For each service only the records of the two latest tickets are kept, so that
/// memory use is bounded by the number of services.
class RolloutRecordCache
{
public:
    /// \brief Merges records and returns those that changed.
    [[nodiscard]] std::vector<RolloutRecord> merge(const std::vector<RolloutRecord> &records);

    [[nodiscard]] std::vector<RolloutRecord> records() const;

    /// \brief Replaces the pending batch, which is kept until outcomesAcknowledged() or dropOutcomes().
    void setOutcomes(OutcomeBatch batch);

    [[nodiscard]] std::optional<OutcomeBatch> outcomes() const;

    /// \brief Drops the pending batch if it has this number; called when the parent acknowledged it.
    void outcomesAcknowledged(SequenceNumber sequence);

    /// \brief Drops the pending batch, because a former parent may have received it.
    void dropOutcomes();

private:
    mutable std::mutex m_mutex;
    std::map<ServiceName, std::map<TicketNumber, RolloutRecord>> m_records;
    std::optional<OutcomeBatch> m_outcomes;
};

} // namespace dandeliondock
