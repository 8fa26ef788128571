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
constexpr Milliseconds maxRequestDuration{60'000};
constexpr Milliseconds cancellationCheckInterval{20};
constexpr std::size_t maxLoadSamples = 4'096;
constexpr std::size_t cutBodySize = std::size_t{256} * 1024;
constexpr int unavailableStatus = 503;

StreamableResponse makePlainResponse(int status, std::string body = {})
{
    StreamableResponse result;
    result.response.status = status;
    result.response.body = std::move(body);
    return result;
}

/// \brief Returns a body of \c length equal letters that fails after \c cutAt bytes if \c cutAt is below \c length.
BodySource repeatedLetters(std::uint64_t length, std::uint64_t cutAt, Milliseconds blockDelay)
{
    return [=, sent = std::uint64_t{0}](char *buffer, std::size_t size) mutable -> absl::StatusOr<std::size_t> {
        if (sent >= cutAt && cutAt < length)
            return absl::DataLossError("cut by the behaviour");
        if (blockDelay.count() > 0)
            std::this_thread::sleep_for(blockDelay);
        const std::uint64_t end = std::min(length, cutAt);
        const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(size, end - sent));
        std::memset(buffer, 'a', count);
        sent += count;
        return count;
    };
}

StreamableResponse makeStreamedResponse(std::uint64_t length, std::uint64_t cutAt, Milliseconds blockDelay)
{
    StreamableResponse result;
    result.source = repeatedLetters(length, cutAt, blockDelay);
    result.length = ByteCount(length);
    return result;
}

bool isLoadShedding(const wire::TargetFault &fault, const wire::TargetBehaviour &behaviour)
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
        m_behaviourSetAt = m_time.monotonic();
        ++m_behaviourEpoch;
    }
    m_stateChanged.notify_all();
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
    return m_cancelledRequests;
}

std::uint32_t TargetServer::busy() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requestsInProgress;
}

StreamableResponse TargetServer::serve(const HttpRequest &request, const CallerConnection &caller)
{
    if (request.target == "/standin/behaviour" && request.method == "POST")
        return serveBehaviour(request.body);
    if (request.target == "/standin/runs")
        return serveRuns();
    if (request.target == "/healthz")
        return serveHealth();
    StreamableResponse result = serveWork(request, caller);
    addHeaders(result);
    return result;
}

StreamableResponse TargetServer::serveBehaviour(const std::string &body)
{
    wire::TargetBehaviour behaviour;
    const absl::Status parsed = parseJson(body, ErrorKind::InvalidMessage, "the behaviour", behaviour);
    if (!parsed.ok())
        return makePlainResponse(400, std::string(parsed.message()));
    setBehaviour(std::move(behaviour));
    return makePlainResponse(200);
}

StreamableResponse TargetServer::serveRuns() const
{
    wire::TargetRuns message;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[id, count] : m_runs)
        (*message.mutable_runs())[id] = count;
    return makePlainResponse(200, printJson(message));
}

StreamableResponse TargetServer::serveHealth() const
{
    const std::scoped_lock lock(m_mutex);
    if (m_behaviour.health_status() != 0)
        return makePlainResponse(static_cast<int>(m_behaviour.health_status()));
    return makePlainResponse(m_behaviour.draining() ? unavailableStatus : 200);
}

StreamableResponse TargetServer::serveWork(const HttpRequest &request, const CallerConnection &caller)
{
    const MonotonicTime now = m_time.monotonic();
    const Deadline deadline = Deadline::fromHeader(request.headers.first(deadlineHeader), maxRequestDuration, now);
    if (!acquireSlot(deadline.at())) {
        const std::scoped_lock lock(m_mutex);
        return makePlainResponse(m_behaviour.shed_status() != 0 ? static_cast<int>(m_behaviour.shed_status())
                                                                : unavailableStatus);
    }
    StreamableResponse result = runRequest(request, caller);
    releaseSlot();
    return result;
}

bool TargetServer::acquireSlot(MonotonicTime deadline)
{
    std::unique_lock lock(m_mutex);
    const auto hasSlot = [this] { return m_behaviour.slots() == 0 || m_requestsInProgress < m_behaviour.slots(); };
    if (m_behaviour.shed_status() != 0 && !hasSlot())
        return false;
    if (!m_stateChanged.wait_until(lock, deadline, hasSlot))
        return false;
    ++m_requestsInProgress;
    m_loadSamples.push_back({m_time.monotonic(), m_requestsInProgress});
    if (m_loadSamples.size() > maxLoadSamples)
        m_loadSamples.pop_front();
    return true;
}

void TargetServer::releaseSlot()
{
    {
        const std::scoped_lock lock(m_mutex);
        --m_requestsInProgress;
        m_loadSamples.push_back({m_time.monotonic(), m_requestsInProgress});
        if (m_loadSamples.size() > maxLoadSamples)
            m_loadSamples.pop_front();
    }
    m_stateChanged.notify_all();
}

wire::TargetFault TargetServer::activeFault(const HttpRequest &request) const
{
    const std::scoped_lock lock(m_mutex);
    const wire::TargetFault &fault = m_behaviour.fault();
    const bool hasStarted = m_time.monotonic() >= m_behaviourSetAt + Milliseconds(fault.after_ms());
    const bool isConcurrencyReached =
            fault.above_concurrency() == 0 || m_requestsInProgress > fault.above_concurrency();
    if (hasStarted && isConcurrencyReached && absl::StartsWith(request.target, fault.path_prefix()))
        return fault;
    return {};
}

bool TargetServer::simulateWork(Milliseconds duration, MonotonicTime deadline, const CallerConnection &caller)
{
    std::unique_lock lock(m_mutex);
    const std::uint64_t epoch = m_behaviourEpoch;
    const MonotonicTime end = std::min(deadline, m_time.monotonic() + duration);
    while (m_time.monotonic() < end && epoch == m_behaviourEpoch) {
        // A disconnect is visible only on the caller's socket and does not notify the condition variable, hence the
        // poll.
        m_stateChanged.wait_until(lock, std::min(end, m_time.monotonic() + cancellationCheckInterval));
        if (caller.isClosedByPeer()) {
            ++m_cancelledRequests;
            return false;
        }
    }
    if (end < deadline || epoch != m_behaviourEpoch)
        return true;
    ++m_cancelledRequests;
    return false;
}

StreamableResponse TargetServer::runRequest(const HttpRequest &request, const CallerConnection &caller)
{
    const MonotonicTime now = m_time.monotonic();
    const wire::TargetFault fault = activeFault(request);
    MonotonicTime deadline = Deadline::fromHeader(request.headers.first(deadlineHeader), maxRequestDuration, now).at();
    wire::TargetBehaviour behaviour;
    {
        const std::scoped_lock lock(m_mutex);
        behaviour = m_behaviour;
        const auto id = request.headers.first("X-Request-Id");
        if (id && !isLoadShedding(fault, behaviour))
            ++m_runs[std::string(*id)];
    }
    Milliseconds duration(behaviour.work_ms());
    if (now < m_startedAt + Milliseconds(behaviour.cold_start_ms()))
        duration += Milliseconds(behaviour.cold_extra_ms());
    if (fault.kind() == wire::TargetFault::KIND_SLOW)
        duration += Milliseconds(fault.delay_ms());
    if (fault.kind() == wire::TargetFault::KIND_SILENT) {
        duration = maxRequestDuration;
        deadline = now + maxRequestDuration;
    }
    if (duration.count() > 0 && !simulateWork(duration, deadline, caller))
        return makePlainResponse(unavailableStatus, "given up");
    if (fault.kind() == wire::TargetFault::KIND_CLOSE)
        closeConnection(caller);
    if (fault.kind() == wire::TargetFault::KIND_CUT)
        return makeStreamedResponse(cutBodySize, std::max(1U, fault.cut_after_bytes()), {});
    if (fault.kind() == wire::TargetFault::KIND_STATUS)
        return makePlainResponse(static_cast<int>(fault.status()));
    return makeSuccessResponse(request, behaviour);
}

StreamableResponse TargetServer::makeSuccessResponse(const HttpRequest &request,
                                                     const wire::TargetBehaviour &behaviour) const
{
    if (behaviour.body_bytes() > 0)
        return makeStreamedResponse(behaviour.body_bytes(), behaviour.body_bytes(),
                                    Milliseconds(behaviour.body_block_delay_ms()));
    return makePlainResponse(200, absl::StrCat(request.method, " ", request.target, " ", request.body.text()));
}

std::uint32_t TargetServer::reportedLoad() const
{
    if (m_behaviour.fixed_load() > 0)
        return static_cast<std::uint32_t>(m_behaviour.fixed_load());
    const MonotonicTime asOf = m_time.monotonic() - Milliseconds(m_behaviour.load_lag_ms());
    const auto sample = std::find_if(m_loadSamples.rbegin(), m_loadSamples.rend(),
                                     [asOf](const LoadSample &candidate) { return candidate.at <= asOf; });
    if (sample == m_loadSamples.rend() || m_behaviour.slots() == 0)
        return 0;
    return std::min(fullShare.value(), sample->busy * fullShare.value() / m_behaviour.slots());
}

void TargetServer::addHeaders(StreamableResponse &result) const
{
    const std::scoped_lock lock(m_mutex);
    result.response.headers.add("X-Version", m_version);
    result.response.headers.add("X-Load", absl::StrCat(reportedLoad()));
    if (m_behaviour.draining() && !m_behaviour.drain_header().empty())
        result.response.headers.add(m_behaviour.drain_header(), "1");
}

} // namespace dandeliondock::standins
