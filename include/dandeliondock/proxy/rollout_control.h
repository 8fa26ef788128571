#pragma once

#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/proxy/operator_documents.h>
#include <dandeliondock/proxy/service_versions.h>
#include <dandeliondock/rollout/outcome_aggregator.h>
#include <dandeliondock/rollout/rollout_driver.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dandeliondock {

/// \brief Interval at which proxies report outcomes to the driver, and at which the driver decides.
inline constexpr Milliseconds rolloutInterval{400};
/// \brief Time without contact to the driver after which another proxy takes over as driver.
inline constexpr Milliseconds driverTimeout{1'600};
/// \brief Extra delay per rank before a proxy claims a rollout, so that the proxies of a service try one after another.
inline constexpr Milliseconds driverStagger{300};
/// \brief Number of proxies that try one after another; the others try almost at once, because several that do not
/// claim are lost, and a claim that comes second only fails.
inline constexpr std::size_t staggeredClaims = 3;
/// \brief Extra delay per rank beyond staggeredClaims, and the largest sum of these.
inline constexpr Milliseconds lateClaimStagger{10};
inline constexpr Milliseconds maxLateClaimStagger{400};
/// \brief Delay between the completion of a rollout and the notice to the operator, in which requests in progress at
/// the old version end.
inline constexpr Milliseconds completionNoticeDelay{1'300};
/// \brief Time before the end of an order's duration that is reserved for the completion notice to reach the operator.
inline constexpr Milliseconds noticeReserve{3'000};
/// \brief Time from the first read of the table in an era in which the operator may have written orders again that the
/// table had lost. A new order for the same version of a service takes longer than that.
inline constexpr Milliseconds orderRewriteTime{5'000};

/// \brief Dependencies of the rollout control.
struct RolloutControlDependencies
{
    EventLoop *loop = nullptr;
    AsyncHttpClient *client = nullptr;
    const AsyncTableHooks *table = nullptr;
    const OperatorTableCodec *documents = nullptr;
    TableName sharedTable;
    NodeId node;
    Incarnation incarnation;
    Address inboundAddress;
    ServiceName service;
    LogSink log;
    /// Called when the known versions of the service change, possibly before the table is written.
    std::function<void(const ServiceVersions &)> onVersions;
    /// Returns the number of serving targets of a version of the service.
    std::function<std::uint32_t(const VersionName &)> servingCount;
    /// Returns the rank of this proxy among the proxies of its service, from 0.
    std::function<std::size_t()> rank;
    /// Returns whether the shared table is read without failures at present.
    std::function<bool()> isTableCurrent;
    /// Returns the time on the table's clock.
    std::function<WallTime()> tableTime;
};

/// \brief Takes part in the rollouts of the local target's service: reports outcomes to the driver, takes over as
/// driver when there is none, and notifies the operator of the result.
///
/// \remark Belongs to the control duty's thread.
class RolloutControl
{
public:
    explicit RolloutControl(RolloutControlDependencies dependencies);

    /// \brief Applies the service's row as read from the table; ignores a version older than the one applied. A row of
    /// a later era that lacks known progress is not applied; it is written again.
    void setRow(const ServiceVersions &versions, const TableVersion &version);

    /// \brief Takes note that a version of the table has no row of the service. A row that was known before is written
    /// again.
    void handleRowAbsent(const TableVersion &asOfVersion);

    /// \brief Applies an operator's order; ignores one that is not newer than the latest, and one that was known in an
    /// earlier era of the table.
    void setOrder(const RolloutOrder &order);

    /// \brief Records the outcome of an attempt on the local target, for the next report to the driver.
    void record(const AttemptReport &report, TicketNumber rollout);

    /// \brief Records the outcomes that another proxy reports.
    ///
    /// \return The service's row as known to this proxy, encoded; empty when it is not known.
    [[nodiscard]] std::string handleReport(absl::string_view body);

    /// \brief Releases a rollout that this proxy drives, so that another proxy takes over at once, and claims none from
    /// now on.
    void stop();

private:
    /// Whether the stored row contains a running rollout.
    [[nodiscard]] bool isRolloutRunning() const;
    [[nodiscard]] bool isDriver() const;
    /// Whether an order of a later era is one that was known before the table came back from an older copy.
    [[nodiscard]] bool isKnownOrder(const RolloutOrder &order) const;
    /// Whether the latest order has not started a rollout yet.
    [[nodiscard]] bool isOrderPending() const;
    /// Schedules the write of the known versions to a row that has lost them.
    void scheduleRestore();
    void restoreRow();
    void scheduleTick();
    void tick();
    void claimIfDue();
    void claim();
    void releaseRollout();
    /// Delay before this proxy claims a rollout, so that proxies of lower rank claim it first.
    [[nodiscard]] Milliseconds claimDelay() const;
    /// Time without contact to the driver after which this proxy takes over.
    [[nodiscard]] Milliseconds takeoverDelay() const;
    void runDriver();
    void sendReport();
    void handleReportResult(const AsyncCallResult &result, SequenceNumber sequence);
    void applyDecision(const DriverDecision &decision);
    void writeRow(ServiceVersions next, std::optional<RolloutState> operatorStatus);
    /// Whether the rollout is completed and the operator was not notified yet.
    [[nodiscard]] bool needsCompletionNotice() const;
    void sendCompletionNotice();
    void updateKnownVersions(const ServiceVersions &versions);

    RolloutControlDependencies m_dependencies;
    std::optional<ServiceVersions> m_storedVersions; ///< as stored in the row
    std::optional<ServiceVersions> m_knownVersions;  ///< with changes that are known before the row is written
    TableVersion m_rowVersion;                       ///< absent if the table has no row
    std::optional<MonotonicTime> m_restoreAt;        ///< when this proxy writes lost progress to the row again
    StoreEra m_orderEra;                             ///< latest era in which an order was read
    MonotonicTime m_orderEraSeenAt;                  ///< when an order was first read in that era
    bool m_isOrderRewritten = false;                 ///< m_order may be one that was written again after a loss
    std::optional<RolloutOrder> m_order;
    TicketNumber m_latestOrderNumber; ///< including those of orders that were known before
    std::deque<RolloutOrder> m_earlierOrders;
    OutcomeAggregator m_outcomes;
    std::optional<RolloutDriver> m_driver;
    WallTime m_orderReadAt;           ///< when the order was read, on the table's clock
    MonotonicTime m_completionSeenAt; ///< when the row was first read as completed
    MonotonicTime m_earliestClaim;
    MonotonicTime m_lastDriverContact;
    LoopTimer m_tickTimer;
    AsyncHttpCall m_reportCall; ///< report in progress
    bool m_isWriting = false;
    bool m_isReporting = false;
    bool m_isStopped = false;
};

} // namespace dandeliondock
