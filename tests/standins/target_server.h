#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/http/server.h>

#include <standin.pb.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace dandeliondock::standins {

/// \brief Address, version and connection limit of a TargetServer.
struct TargetOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 selects a free port
    std::string version = "v1";
    ConnectionCount connections{130};
};

/// \brief HTTP server for tests that stands in for a target and shows the behaviour and faults of a
/// wire::TargetBehaviour. Thread-safe.
///
/// \remark Serves POST /standin/behaviour (JSON), GET /standin/runs and GET /healthz. On every other path it responds
/// with the method, target and body of the request, and counts the executions of each X-Request-Id.
class TargetServer
{
public:
    /// \brief Starts the server.
    ///
    /// \return An error if the server can't listen.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<TargetServer>> start(const TargetOptions &options);

    ~TargetServer();

    TargetServer(const TargetServer &) = delete;
    TargetServer &operator=(const TargetServer &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_server->port(); }

    [[nodiscard]] Address address() const;

    /// \brief Replaces the behaviour and ends the simulated work of requests in progress.
    void setBehaviour(wire::TargetBehaviour behaviour);

    /// \brief Returns how often a request with the X-Request-Id \c requestId was executed.
    [[nodiscard]] std::uint32_t runs(const std::string &requestId) const;

    /// \brief Returns the number of requests that were cancelled because the caller disconnected or the deadline
    /// passed.
    [[nodiscard]] std::uint32_t cancelled() const;

    /// \brief Returns the number of requests in progress.
    [[nodiscard]] std::uint32_t busy() const;

private:
    struct LoadSample
    {
        MonotonicTime at;
        std::uint32_t busy = 0;
    };

    explicit TargetServer(std::string version);

    [[nodiscard]] StreamableResponse serve(const HttpRequest &request, const CallerConnection &caller);
    [[nodiscard]] StreamableResponse serveWork(const HttpRequest &request, const CallerConnection &caller);
    [[nodiscard]] StreamableResponse serveHealth() const;
    [[nodiscard]] StreamableResponse serveBehaviour(const std::string &body);
    [[nodiscard]] StreamableResponse serveRuns() const;
    [[nodiscard]] StreamableResponse runRequest(const HttpRequest &request, const CallerConnection &caller);
    [[nodiscard]] StreamableResponse makeSuccessResponse(const HttpRequest &request,
                                                         const wire::TargetBehaviour &behaviour) const;
    /// \brief Occupies a slot; waits for a free one until \c deadline unless the behaviour has a shed status.
    ///
    /// \return Whether a slot was occupied.
    [[nodiscard]] bool acquireSlot(MonotonicTime deadline);
    void releaseSlot();
    /// \brief Waits for \c duration, until \c deadline, a new behaviour or a disconnect of the caller.
    ///
    /// \return False if the deadline passed or the caller disconnected first.
    [[nodiscard]] bool simulateWork(Milliseconds duration, MonotonicTime deadline, const CallerConnection &caller);
    /// \brief Returns the fault that applies to \c request now; of kind KIND_NONE if there is none.
    [[nodiscard]] wire::TargetFault activeFault(const HttpRequest &request) const;
    /// \brief Returns the load for the X-Load header, in parts of 10,000 of the slots.
    ///
    /// \pre m_mutex is locked.
    [[nodiscard]] std::uint32_t reportedLoad() const;
    void addHeaders(StreamableResponse &result) const;

    const std::string m_version;
    const TimeSource m_time = systemTime();
    const MonotonicTime m_startedAt = m_time.monotonic();
    mutable std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    wire::TargetBehaviour m_behaviour;
    MonotonicTime m_behaviourSetAt = m_startedAt;
    std::uint64_t m_behaviourEpoch = 0; ///< incremented with each new behaviour; ends the waits of earlier requests
    std::uint32_t m_requestsInProgress = 0;
    std::uint32_t m_cancelledRequests = 0;
    std::deque<LoadSample> m_loadSamples;
    std::map<std::string, std::uint32_t> m_runs;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace dandeliondock::standins
