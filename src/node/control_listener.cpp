#include <dandeliondock/node/control_listener.h>

#include <dandeliondock/codec/control_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/distribution/pause_detector.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

namespace {

constexpr Milliseconds maintenanceInterval{500};
constexpr Milliseconds drainTimeout{2'000};
// Size of the status line and of the Date and Content-Length headers, which the HTTP library adds.
constexpr std::size_t implicitHeaderBytes = 85;

std::size_t sizeOfHeaders(const HttpHeaders &headers)
{
    constexpr std::size_t separators = 4;
    std::size_t size = 0;
    for (const HttpHeader &line : headers.lines())
        size += line.name.size() + line.value.size() + separators;
    return size;
}

int httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidMessage:
        return 400;
    case ErrorKind::WrongDeployment:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    default:
        return 503;
    }
}

} // namespace

ControlListener::ControlListener(std::shared_ptr<RelayCoordinator> coordinator) : m_coordinator(std::move(coordinator))
{
}

ControlListener::~ControlListener()
{
    stop();
}

HttpResponse ControlListener::serve(const HttpRequest &request)
{
    if (request.method == "POST" && request.target == "/control/poll")
        return servePoll(request);
    if (request.method == "POST" && request.target == "/control/snapshot")
        return serveSnapshot(request);
    return refuse(makeError(ErrorKind::NotFound, request.target));
}

HttpResponse ControlListener::refuse(const absl::Status &status) const
{
    m_coordinator->hooks()
            .metrics->counter("dandeliondock_control_refusals_total", errorKindName(errorKind(status)))
            .add();
    LogEvent(LogLevel::Warn, "control.message_refused").error(status).write(m_coordinator->hooks().log);
    HttpResponse response;
    response.status = httpStatus(errorKind(status));
    response.body = std::string(status.message());
    return response;
}

HttpResponse ControlListener::servePoll(const HttpRequest &request)
{
    const absl::StatusOr<PollRequest> poll =
            decodePollRequest(request.body.text(), m_coordinator->identity().deployment);
    if (errorKind(poll.status()) == ErrorKind::WrongDeployment) {
        // Sent as a poll response with status 200, so that the child skips this address for the rest of the round.
        HttpResponse response = refuse(poll.status());
        PollAnswer pollAnswer;
        pollAnswer.result = PollResult::WrongDeployment;
        response.status = 200;
        response.body = encodePollAnswer(pollAnswer);
        return response;
    }
    if (!poll.ok())
        return refuse(poll.status());
    HttpResponse response;
    response.body = encodePollAnswer(m_coordinator->servePoll(*poll));
    countBytes(request, response, poll->region);
    return response;
}

HttpResponse ControlListener::serveSnapshot(const HttpRequest &request)
{
    const auto snapshotRequest = decodeSnapshotRequest(request.body.text(), m_coordinator->identity().deployment);
    if (!snapshotRequest.ok())
        return refuse(snapshotRequest.status());
    const MonotonicTime startedAt = m_coordinator->hooks().time.monotonic();
    std::optional<Milliseconds> retryAfter;
    {
        const std::scoped_lock lock(m_mutex);
        retryAfter = m_admission.admit(startedAt);
    }
    if (retryAfter) {
        HttpResponse response = refuse(makeError(ErrorKind::Overloaded, "four snapshots are being served"));
        response.headers.add("Retry-After-Ms", absl::StrCat(retryAfter->count()));
        return response;
    }
    HttpResponse response = sendSnapshot();
    {
        const std::scoped_lock lock(m_mutex);
        m_admission.finish(startedAt, m_coordinator->hooks().time.monotonic());
    }
    countBytes(request, response, snapshotRequest->region);
    return response;
}

HttpResponse ControlListener::sendSnapshot()
{
    const std::shared_ptr<const std::string> snapshot = m_snapshots.encodedSnapshot(m_coordinator->hooks().config());
    m_coordinator->hooks().metrics->counter("dandeliondock_snapshots_served_total").add();
    HttpResponse response;
    response.body = *snapshot;
    return response;
}

void ControlListener::countBytes(const HttpRequest &request, const HttpResponse &response,
                                 const RegionName &region) const
{
    constexpr std::size_t requestLineBytes = 12;
    const std::size_t received = request.method.size() + request.target.size() + requestLineBytes
                                 + sizeOfHeaders(request.headers) + request.body.size();
    const std::size_t sent = implicitHeaderBytes + sizeOfHeaders(response.headers) + response.body.size();
    MetricsRegistry &metrics = *m_coordinator->hooks().metrics;
    metrics.counter("dandeliondock_control_bytes_total", "from_children").add(received);
    metrics.counter("dandeliondock_control_bytes_total", "to_children").add(sent);
    if (region != m_coordinator->identity().region)
        metrics.counter("dandeliondock_control_bytes_total", "other_region").add(received + sent);
}

void ControlListener::runMaintenance()
{
    PauseDetector detector;
    std::unique_lock lock(m_mutex);
    while (!m_stopRequested) {
        lock.unlock();
        if (detector.onTick(m_coordinator->hooks().time.monotonic())) {
            m_coordinator->hooks().metrics->counter("dandeliondock_pauses_total").add();
            LogEvent(LogLevel::Warn, "node.paused").write(m_coordinator->hooks().log);
            m_coordinator->onPause();
        }
        m_coordinator->hooks().onLivenessTick();
        m_coordinator->expireChildren();
        lock.lock();
        m_stopCondition.wait_for(lock, maintenanceInterval, [this] { return m_stopRequested; });
    }
}

void ControlListener::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_stopRequested)
            return;
        m_stopRequested = true;
    }
    m_stopCondition.notify_all();
    m_coordinator->leave();
    if (m_maintenanceThread.joinable())
        m_maintenanceThread.join();
    if (!m_server)
        return;
    m_server->startDraining();
    if (!m_server->waitForRequests(drainTimeout))
        LogEvent(LogLevel::Warn, "control.drain_timed_out").write(m_coordinator->hooks().log);
    m_server->stop();
}

ControlListenerBuilder &ControlListenerBuilder::listen(std::string address, std::uint16_t port)
{
    m_address = std::move(address);
    m_port = port;
    return *this;
}

ControlListenerBuilder &ControlListenerBuilder::coordinator(std::shared_ptr<RelayCoordinator> coordinator)
{
    m_coordinator = std::move(coordinator);
    return *this;
}

ControlListenerBuilder &ControlListenerBuilder::maxConnections(ConnectionCount limit)
{
    m_maxConnections = limit;
    return *this;
}

ControlListenerBuilder &ControlListenerBuilder::account(std::shared_ptr<SharedReceiveAccount> account)
{
    m_account = std::move(account);
    return *this;
}

absl::StatusOr<std::unique_ptr<ControlListener>> ControlListenerBuilder::start()
{
    constexpr ByteCount maxPollBytes{16U << 20U};
    std::unique_ptr<ControlListener> listener(new ControlListener(m_coordinator));
    ControlListener *self = listener.get();
    auto server = HttpServerBuilder()
                          .listen(m_address, m_port)
                          .maxBody(maxPollBytes)
                          .maxConnections(m_maxConnections)
                          .account(m_account)
                          .handler([self](const HttpRequest &request) { return self->serve(request); })
                          .start();
    if (!server.ok())
        return server.status();
    listener->m_server = *std::move(server);
    listener->m_maintenanceThread = std::thread([self] { self->runMaintenance(); });
    return listener;
}

} // namespace dandeliondock
