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

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dandeliondock {

/// \brief Time between two reports of outcomes to the driver, and between two of its decisions.
inline constexpr Milliseconds rolloutInterval{400};
/// \brief Time without contact to the driver after which another proxy takes its place.
inline constexpr Milliseconds driverTimeout{1'600};
/// \brief Time by which each further proxy waits longer before it offers to drive.
inline constexpr Milliseconds driverStagger{300};
/// \brief Time between the last request to the old version and the notice that the rollout is completed, in which
/// requests in progress end.
inline constexpr Milliseconds completionNotice{1'300};
/// \brief Part of a rollout's time that is left for that notice and for its way to the operator.
inline constexpr Milliseconds noticeReserve{3'000};
/// \brief Path on a door at which the driver takes outcomes.
inline constexpr absl::string_view outcomesPath = "/dock/outcomes";

/// \brief What the control of a service's rollouts works with.
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
    /// The versions of the service changed here, ahead of the table.
    std::function<void(const ServiceVersions &)> onVersions;
    /// Number of serving targets of a version of the service.
    std::function<std::uint32_t(const VersionName &)> servingCount;
    /// Place of this proxy among those of its service, from 0.
    std::function<std::size_t()> rank;
    /// Whether the shared table can be read at present.
    std::function<bool()> isTableCurrent;
    /// The table's own clock.
    std::function<WallTime()> tableTime;
};

/// \brief Takes part in the rollouts of the service beside this proxy: reports outcomes to the driver, drives when
/// nobody else does, and tells the operator the result.
///
/// \remark Belongs to the control duty's thread.
class RolloutControl
{
public:
    explicit RolloutControl(RolloutControlDependencies parts);

    /// \brief Takes the service's row as read from the table.
    void setRow(const ServiceVersions &versions, RowVersion version);

    /// \brief Takes an operator's order.
    void setOrder(const RolloutOrder &order);

    /// \brief Takes an attempt at the target beside this proxy.
    void record(const AttemptReport &report, TicketNumber rollout);

    /// \brief Takes another proxy's report.
    ///
    /// \return The service's row as this proxy knows it, encoded.
    [[nodiscard]] std::string handleReport(absl::string_view body);

    /// \brief Gives a rollout that is driven here up, so that another proxy takes it at once, and takes none from now
    /// on.
    void stop();

private:
    /// Whether the row, as it was read, shows a running rollout.
    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] bool isDriver() const;
    void schedule();
    void tick();
    void considerClaim();
    void claim();
    void giveUp();
    /// Time for which the proxies before this one have the first try.
    [[nodiscard]] Milliseconds turn() const;
    /// Silence of the driver after which this proxy takes its place.
    [[nodiscard]] Milliseconds patience() const;
    void drive();
    void sendReport();
    void reportSent(const AsyncCallResult &result, SequenceNumber sequence);
    void apply(const DriverDecision &decision);
    void write(ServiceVersions next, std::optional<RolloutState> status);
    /// Whether the rollout is completed and nobody has told the operator.
    [[nodiscard]] bool isUnannounced() const;
    void announceCompletion();
    void adopt(const ServiceVersions &versions);

    RolloutControlDependencies m_parts;
    std::optional<ServiceVersions> m_stored;   ///< as it stands in the row
    std::optional<ServiceVersions> m_versions; ///< with what is known ahead of the row
    RowVersion m_rowVersion;
    std::optional<RolloutOrder> m_order;
    OutcomeAggregator m_window;
    std::optional<RolloutDriver> m_driver;
    WallTime m_orderedAt;        ///< when the order was seen, on the table's clock
    MonotonicTime m_completedAt; ///< when the row was first seen to be completed
    MonotonicTime m_claimFrom;
    MonotonicTime m_lastContact;
    LoopTimer m_timer;
    AsyncHttpCall m_report; ///< in progress
    bool m_isWriting = false;
    bool m_isReporting = false;
    bool m_isStopped = false;
};

} // namespace dandeliondock
