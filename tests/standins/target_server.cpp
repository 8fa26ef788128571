#include "target_server.h"

#include <dandeliondock/attempts/deadline.h>
#include <dandeliondock/codec/protobuf_codec.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstring>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace dandeliondock::standins {

namespace {

constexpr ByteCount maxBody{64U << 20U};
constexpr Milliseconds longestRequest{60'000};
constexpr Milliseconds cancellationCheck{20};
constexpr std::size_t loadHistory = 4'096;
constexpr std::size_t cutBodyBytes = std::size_t{256} * 1024;
constexpr int unhealthy = 503;

StreamableResponse plain(int status, std::string body = {})
{
    StreamableResponse reply;
    reply.response.status = status;
    reply.response.body = std::move(body);
    return reply;
}

/// \brief A body of repeated letters; it breaks at \c breakAt when that is below \c length.
BodySource letters(std::uint64_t length, std::uint64_t breakAt, Milliseconds blockDelay)
{
    return [=, sent = std::uint64_t{0}](char *buffer, std::size_t size) mutable -> absl::StatusOr<std::size_t> {
        if (sent >= breakAt && breakAt < length)
            return absl::DataLossError("cut by the behaviour");
        if (blockDelay.count() > 0)
            std::this_thread::sleep_for(blockDelay);
        const std::uint64_t end = std::min(length, breakAt);
        const auto part = static_cast<std::size_t>(std::min<std::uint64_t>(size, end - sent));
        std::memset(buffer, 'a', part);
        sent += part;
        return part;
    };
}

StreamableResponse streamed(std::uint64_t length, std::uint64_t breakAt, Milliseconds blockDelay)
{
    StreamableResponse reply;
    reply.source = letters(length, breakAt, blockDelay);
    reply.length = ByteCount(length);
    return reply;
}

bool isShed(const wire::TargetFault &fault, const wire::TargetBehaviour &behaviour)
{
    return fault.kind() == wire::TargetFault::KIND_STATUS && fault.status() == behaviour.shed_status();
}

void closeConnection(const CallerConnection &caller)
{
    shutdown(caller.socket, SHUT_RDWR);
}

} // namespace

TargetServer::TargetServer(std::string version) : m_version(std::move(version)) {}

TargetServer::~TargetServer()
{
    setBehaviour({});
    if (m_server)
        m_server->stop();
}

absl::StatusOr<std::unique_ptr<TargetServer>> TargetServer::start(const TargetOptions &options)
{
    std::unique_ptr<TargetServer> target(new TargetServer(options.version));
    TargetServer *self = target.get();
    auto server = HttpServerBuilder()
                          .listen(options.address, options.port)
                          .maxBody(maxBody)
                          .maxConnections(options.connections)
                          .streamingHandler([self](const HttpRequest &request, const CallerConnection &caller) {
                              return self->serve(request, caller);
                          })
                          .start();
    if (!server.ok())
        return server.status();
    target->m_server = *std::move(server);
    return target;
}

Address TargetServer::address() const
{
    return Address(absl::StrCat("127.0.0.1:", port()));
}

void TargetServer::setBehaviour(wire::TargetBehaviour behaviour)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_behaviour = std::move(behaviour);
        m_behaviourSet = m_time.monotonic();
        ++m_epoch;
    }
    m_changed.notify_all();
}

std::uint32_t TargetServer::runs(const std::string &requestId) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_runs.find(requestId);
    return found == m_runs.end() ? 0 : found->second;
}

std::uint32_t TargetServer::cancelled() const
{
    const std::scoped_lock lock(m_mutex);
    return m_cancelled;
}

std::uint32_t TargetServer::busy() const
{
    const std::scoped_lock lock(m_mutex);
    return m_busy;
}

StreamableResponse TargetServer::serve(const HttpRequest &request, const CallerConnection &caller)
{
    if (request.target == "/standin/behaviour" && request.method == "POST")
        return serveBehaviour(request.body);
    if (request.target == "/standin/runs")
        return serveRuns();
    if (request.target == "/healthz")
        return serveHealth();
    StreamableResponse reply = serveWork(request, caller);
    addHeaders(reply);
    return reply;
}

StreamableResponse TargetServer::serveBehaviour(const std::string &body)
{
    wire::TargetBehaviour behaviour;
    const absl::Status parsed = parseJson(body, ErrorKind::InvalidMessage, "the behaviour", behaviour);
    if (!parsed.ok())
        return plain(400, std::string(parsed.message()));
    setBehaviour(std::move(behaviour));
    return plain(200);
}

StreamableResponse TargetServer::serveRuns() const
{
    wire::TargetRuns message;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[id, count] : m_runs)
        (*message.mutable_runs())[id] = count;
    return plain(200, printJson(message));
}

StreamableResponse TargetServer::serveHealth() const
{
    const std::scoped_lock lock(m_mutex);
    if (m_behaviour.health_status() != 0)
        return plain(static_cast<int>(m_behaviour.health_status()));
    return plain(m_behaviour.draining() ? unhealthy : 200);
}

StreamableResponse TargetServer::serveWork(const HttpRequest &request, const CallerConnection &caller)
{
    const MonotonicTime now = m_time.monotonic();
    const Deadline deadline = Deadline::fromHeader(request.headers.first(deadlineHeader), longestRequest, now);
    if (!takeSlot(deadline.at())) {
        const std::scoped_lock lock(m_mutex);
        return plain(m_behaviour.shed_status() != 0 ? static_cast<int>(m_behaviour.shed_status()) : unhealthy);
    }
    StreamableResponse reply = run(request, caller);
    freeSlot();
    return reply;
}

bool TargetServer::takeSlot(MonotonicTime deadline)
{
    std::unique_lock lock(m_mutex);
    const auto hasSlot = [this] { return m_behaviour.slots() == 0 || m_busy < m_behaviour.slots(); };
    if (m_behaviour.shed_status() != 0 && !hasSlot())
        return false;
    if (!m_changed.wait_until(lock, deadline, hasSlot))
        return false;
    ++m_busy;
    m_loads.push_back({m_time.monotonic(), m_busy});
    if (m_loads.size() > loadHistory)
        m_loads.pop_front();
    return true;
}

void TargetServer::freeSlot()
{
    {
        const std::scoped_lock lock(m_mutex);
        --m_busy;
        m_loads.push_back({m_time.monotonic(), m_busy});
        if (m_loads.size() > loadHistory)
            m_loads.pop_front();
    }
    m_changed.notify_all();
}

wire::TargetFault TargetServer::activeFault(const HttpRequest &request) const
{
    const std::scoped_lock lock(m_mutex);
    const wire::TargetFault &fault = m_behaviour.fault();
    const bool begun = m_time.monotonic() >= m_behaviourSet + Milliseconds(fault.after_ms());
    const bool loaded = fault.above_concurrency() == 0 || m_busy > fault.above_concurrency();
    if (begun && loaded && absl::StartsWith(request.target, fault.path_prefix()))
        return fault;
    return {};
}

bool TargetServer::work(Milliseconds time, MonotonicTime deadline, const CallerConnection &caller)
{
    std::unique_lock lock(m_mutex);
    const std::uint64_t epoch = m_epoch;
    const MonotonicTime end = std::min(deadline, m_time.monotonic() + time);
    while (m_time.monotonic() < end && epoch == m_epoch) {
        // A caller that went away shows only on its socket, which the condition cannot announce.
        m_changed.wait_until(lock, std::min(end, m_time.monotonic() + cancellationCheck));
        if (caller.isClosedByPeer()) {
            ++m_cancelled;
            return false;
        }
    }
    if (end < deadline || epoch != m_epoch)
        return true;
    ++m_cancelled;
    return false;
}

StreamableResponse TargetServer::run(const HttpRequest &request, const CallerConnection &caller)
{
    const MonotonicTime now = m_time.monotonic();
    const wire::TargetFault fault = activeFault(request);
    MonotonicTime deadline = Deadline::fromHeader(request.headers.first(deadlineHeader), longestRequest, now).at();
    wire::TargetBehaviour behaviour;
    {
        const std::scoped_lock lock(m_mutex);
        behaviour = m_behaviour;
        const auto id = request.headers.first("X-Request-Id");
        if (id && !isShed(fault, behaviour))
            ++m_runs[std::string(*id)];
    }
    Milliseconds time(behaviour.work_ms());
    if (now < m_started + Milliseconds(behaviour.cold_start_ms()))
        time += Milliseconds(behaviour.cold_extra_ms());
    if (fault.kind() == wire::TargetFault::KIND_SLOW)
        time += Milliseconds(fault.delay_ms());
    if (fault.kind() == wire::TargetFault::KIND_SILENT) {
        time = longestRequest;
        deadline = now + longestRequest;
    }
    if (time.count() > 0 && !work(time, deadline, caller))
        return plain(unhealthy, "given up");
    if (fault.kind() == wire::TargetFault::KIND_CLOSE)
        closeConnection(caller);
    if (fault.kind() == wire::TargetFault::KIND_CUT)
        return streamed(cutBodyBytes, std::max(1U, fault.cut_after_bytes()), {});
    if (fault.kind() == wire::TargetFault::KIND_STATUS)
        return plain(static_cast<int>(fault.status()));
    return respond(request, behaviour);
}

StreamableResponse TargetServer::respond(const HttpRequest &request, const wire::TargetBehaviour &behaviour) const
{
    if (behaviour.body_bytes() > 0)
        return streamed(behaviour.body_bytes(), behaviour.body_bytes(), Milliseconds(behaviour.body_block_delay_ms()));
    return plain(200, absl::StrCat(request.method, " ", request.target, " ", request.body));
}

std::uint32_t TargetServer::reportedLoad() const
{
    if (m_behaviour.fixed_load() > 0)
        return static_cast<std::uint32_t>(m_behaviour.fixed_load());
    const MonotonicTime asOf = m_time.monotonic() - Milliseconds(m_behaviour.load_lag_ms());
    const auto newer = std::find_if(m_loads.rbegin(), m_loads.rend(),
                                    [asOf](const LoadSample &sample) { return sample.at <= asOf; });
    if (newer == m_loads.rend() || m_behaviour.slots() == 0)
        return 0;
    return std::min(fullShare.value(), newer->busy * fullShare.value() / m_behaviour.slots());
}

void TargetServer::addHeaders(StreamableResponse &reply) const
{
    const std::scoped_lock lock(m_mutex);
    reply.response.headers.add("X-Version", m_version);
    reply.response.headers.add("X-Load", absl::StrCat(reportedLoad()));
    if (m_behaviour.draining() && !m_behaviour.drain_header().empty())
        reply.response.headers.add(m_behaviour.drain_header(), "1");
}

} // namespace dandeliondock::standins
