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

/// \brief Split of a service's traffic between two versions while a rollout runs.
struct VersionSplit
{
    TicketNumber rollout;
    VersionName oldVersion;
    VersionName newVersion;
    Share newShare;       ///< share of the requests that go to the new version
    Share newTargetShare; ///< share of the new version's targets that receive them, in order of versionTargetRank()
};

/// \brief Returns the current split of a service; empty when its configured version receives all requests.
using VersionSplitSource = std::function<std::optional<VersionSplit>(const Service &)>;

/// \brief Route of a request, with its service.
struct RouteMatch
{
    ConfigStatePtr config; ///< keeps the route and the service alive
    const Route *route = nullptr;
    const Service *service = nullptr;
};

/// \brief Result of one attempt.
enum class AttemptResult {
    Responded,  ///< a complete response was received, whatever its status
    Shed,       ///< the target refused the request without executing it
    NotSent,    ///< nothing was sent by this node
    MayHaveRun, ///< sent, but no complete response was received
    TimedOut,   ///< sent, but the deadline passed
    Cancelled,  ///< sent, but the caller disconnected or another attempt responded first
};

/// \brief What this node observed of one attempt.
struct AttemptOutcome
{
    AttemptResult result = AttemptResult::Responded;
    int status = 0; ///< HTTP status of the response; 0 without a response
    Microseconds latency{0};
    std::optional<Share> reportedLoad; ///< busy share of the target's slots, if the response reported it
    bool draining = false;             ///< the response had the service's drain header
};

/// \brief Reserved slot on a target for one attempt. It is released by finish(), abandon() or the destructor.
///
/// \remark Thread-safe.
class TargetSession : public std::enable_shared_from_this<TargetSession>
{
public:
    /// \brief Releases the slot. Called once, with the outcome, or with an empty value if the attempt was abandoned.
    using Release = std::function<void(const std::optional<AttemptOutcome> &)>;

    /// \param connections number of connections that this node may open to the target; empty without a limit.
    /// \param servingSince time at which this node learned that the target is serving; empty if unknown.
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

    /// \brief Returns the time at which this node learned that the target is serving; empty if unknown.
    [[nodiscard]] std::optional<MonotonicTime> servingSince() const noexcept { return m_servingSince; }

    /// \brief Returns the number of connections that this node may open to the target; empty without a limit.
    [[nodiscard]] std::optional<ConnectionCount> connections() const noexcept { return m_connections; }

    /// \brief Releases the slot of an attempt that gave no evidence about the target; has no effect once released.
    void abandon() { release(std::nullopt); }

    /// \brief Releases the slot and reports the outcome of the attempt; has no effect once released.
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

/// \brief Criteria for selecting a target.
struct SelectionRequest
{
    RouteMatch match;
    std::vector<TargetId> tried;          ///< targets of earlier attempts; used again only if there are no others
    std::optional<bool> pinnedNewVersion; ///< whether an earlier attempt used the new version; empty without one
    MonotonicTime deadline;
};

/// \brief Hooks through which the request path matches routes and selects targets. They must be callable from any
/// thread.
struct RoutingHooks
{
    /// Returns the route of a request; NotFound when no route matches, NotReady without a current configuration.
    std::function<absl::StatusOr<RouteMatch>(absl::string_view host, absl::string_view path)> match;
    /// Reserves a slot on a target, and may wait for it until the deadline; NoTarget, Overloaded or DeadlineExceeded
    /// when no target is available.
    std::function<absl::StatusOr<std::shared_ptr<TargetSession>>(const SelectionRequest &)> select;
};

/// \brief Finished attempt, as the request path reports it for statistics.
struct AttemptReport
{
    RouteName route;
    ServiceName service;
    TargetId target;
    VersionName version;
    bool newVersion = false;
    AttemptOutcome outcome;
    std::optional<MonotonicTime> servingSince{}; ///< time at which this node learned that the target is serving
};

} // namespace dandeliondock
