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

/// \brief Where and as what a stand-in for a target serves.
struct TargetOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes a free one
    std::string version = "v1";
    ConnectionCount connections{130};
};

/// \brief Takes the place of a target, good or bad as wire::TargetBehaviour says. Thread-safe.
///
/// \remark Serves POST /standin/behaviour (JSON), GET /standin/runs, GET /healthz and, on every other path, an echo of
/// method, target and body. A request with X-Request-Id is counted when it is run.
class TargetServer
{
public:
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<TargetServer>> start(const TargetOptions &options);

    ~TargetServer();

    TargetServer(const TargetServer &) = delete;
    TargetServer &operator=(const TargetServer &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_server->port(); }

    [[nodiscard]] Address address() const;

    void setBehaviour(wire::TargetBehaviour behaviour);

    /// \brief How often the request of an id was run.
    [[nodiscard]] std::uint32_t runs(const std::string &requestId) const;

    /// \brief Number of requests that were given up because the caller went away or its deadline passed.
    [[nodiscard]] std::uint32_t cancelled() const;

    /// \brief Number of requests in progress.
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
    [[nodiscard]] StreamableResponse run(const HttpRequest &request, const CallerConnection &caller);
    [[nodiscard]] StreamableResponse respond(const HttpRequest &request, const wire::TargetBehaviour &behaviour) const;
    [[nodiscard]] bool takeSlot(MonotonicTime deadline);
    void freeSlot();
    [[nodiscard]] bool work(Milliseconds time, MonotonicTime deadline, const CallerConnection &caller);
    [[nodiscard]] wire::TargetFault activeFault(const HttpRequest &request) const;
    [[nodiscard]] std::uint32_t reportedLoad() const;
    void addHeaders(StreamableResponse &reply) const;

    const std::string m_version;
    const TimeSource m_time = systemTime();
    const MonotonicTime m_started = m_time.monotonic();
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    wire::TargetBehaviour m_behaviour;
    MonotonicTime m_behaviourSet = m_started;
    std::uint64_t m_epoch = 0; ///< rises with each behaviour; releases requests held by KIND_SILENT
    std::uint32_t m_busy = 0;
    std::uint32_t m_cancelled = 0;
    std::deque<LoadSample> m_loads;
    std::map<std::string, std::uint32_t> m_runs;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace dandeliondock::standins
