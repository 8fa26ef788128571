#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/membership/endpoint.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace dandeliondock {

/// \brief How traffic of a service is divided while a rollout runs.
struct VersionSplit
{
    TicketNumber rollout;
    VersionName oldVersion;
    VersionName newVersion;
    Share newShare;       ///< of the requests
    Share newTargetShare; ///< part of the new version's targets that carry the share, in rendezvous order
};

/// \brief The division in force for a service; empty when its version carries everything.
using VersionSplitSource = std::function<std::optional<VersionSplit>(const Service &)>;

/// \brief The route of a request, kept alive with the configuration that it stands in.
struct RouteMatch
{
    ConfigStatePtr config;
    const Route *route = nullptr;
    const Service *service = nullptr;
};

/// \brief What became of one attempt.
enum class AttemptResult {
    Responded,  ///< a whole answer, whatever its status
    Shed,       ///< the target refused without running the request
    NotSent,    ///< nothing left the node
    MayHaveRun, ///< sent, but no whole answer came
    TimedOut,   ///< sent, and the deadline passed
    Cancelled,  ///< sent, and the caller went away or another attempt answered first
};

/// \brief What a node saw of one attempt.
struct AttemptOutcome
{
    AttemptResult result = AttemptResult::Responded;
    int status = 0; ///< of the answer; 0 without one
    Microseconds latency{0};
    std::optional<Share> reportedLoad; ///< busy part of the target's slots, when the answer told it
    bool draining = false;             ///< the answer carried the service's drain header
};

/// \brief One attempt's claim on a target's capacity; the claim ends with finish() or when the last owner lets it go.
///
/// \remark Thread-safe.
class TargetSession : public std::enable_shared_from_this<TargetSession>
{
public:
    /// \brief Called once, with the outcome, or with nothing when the attempt was given up before it began.
    using Release = std::function<void(const std::optional<AttemptOutcome> &)>;

    /// \param connections that this node may open to the target; empty for no limit of the target's own.
    /// \param servingSince when this node learnt that the target serves; empty when it does not know.
    TargetSession(Endpoint endpoint, bool newVersion, Release release,
                  std::optional<ConnectionCount> connections = std::nullopt,
                  std::optional<MonotonicTime> servingSince = std::nullopt)
        : m_endpoint(std::move(endpoint)), m_newVersion(newVersion), m_release(std::move(release)),
          m_connections(connections), m_servingSince(servingSince)
    {
    }

    ~TargetSession() { release(std::nullopt); }

    TargetSession(const TargetSession &) = delete;
    TargetSession &operator=(const TargetSession &) = delete;

    [[nodiscard]] const Endpoint &endpoint() const noexcept { return m_endpoint; }

    /// \brief Whether the attempt goes to the new version of a running rollout.
    [[nodiscard]] bool isNewVersion() const noexcept { return m_newVersion; }

    /// \brief When this node learnt that the target serves; empty when it does not know.
    [[nodiscard]] std::optional<MonotonicTime> servingSince() const noexcept { return m_servingSince; }

    [[nodiscard]] std::optional<ConnectionCount> connections() const noexcept { return m_connections; }

    /// \brief Ends the claim of an attempt that showed nothing of the target; later calls do nothing.
    void abandon() { release(std::nullopt); }

    /// \brief Ends the claim and reports what became of the attempt; later calls do nothing.
    void finish(const AttemptOutcome &outcome) { release(outcome); }

private:
    void release(const std::optional<AttemptOutcome> &outcome)
    {
        if (!m_released.test_and_set())
            m_release(outcome);
    }

    Endpoint m_endpoint;
    bool m_newVersion;
    Release m_release;
    std::optional<ConnectionCount> m_connections;
    std::optional<MonotonicTime> m_servingSince;
    std::atomic_flag m_released;
};

/// \brief What the selection of a target depends on.
struct SelectionRequest
{
    RouteMatch match;
    std::vector<TargetId> tried;          ///< targets of earlier attempts, to be avoided
    std::optional<bool> pinnedNewVersion; ///< version of an earlier attempt, to be kept
    MonotonicTime deadline;
};

/// \brief How the request path reaches the routing decisions. Hooks must be callable from any thread.
struct RoutingHooks
{
    /// NotFound when no route matches; NotReady before the node holds a current configuration.
    std::function<absl::StatusOr<RouteMatch>(absl::string_view host, absl::string_view path)> match;
    /// NoTarget, Overloaded or DeadlineExceeded when no target can be had; may wait in a class queue.
    std::function<absl::StatusOr<std::shared_ptr<TargetSession>>(const SelectionRequest &)> select;
};

/// \brief A finished attempt as it leaves the request path for statistics.
struct AttemptReport
{
    RouteName route;
    ServiceName service;
    TargetId target;
    VersionName version;
    bool newVersion = false;
    AttemptOutcome outcome;
    std::optional<MonotonicTime> servingSince{}; ///< of the target, as this node learnt it
};

} // namespace dandeliondock
