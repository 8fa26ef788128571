#include <dandeliondock/node/control_listener.h>

#include <dandeliondock/codec/control_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/distribution/pause_detector.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

namespace {

constexpr Milliseconds sweepInterval{500};
constexpr Milliseconds drainLimit{2'000};
// Status line, Date and Content-Length, which the HTTP library writes by itself.
constexpr std::size_t libraryHeaderBytes = 85;

std::size_t sizeOf(const HttpHeaders &headers)
{
    constexpr std::size_t separators = 4;
    std::size_t size = 0;
    for (const HttpHeader &line : headers.lines())
        size += line.name.size() + line.value.size() + separators;
    return size;
}

int statusOf(ErrorKind kind)
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

ControlListener::ControlListener(std::shared_ptr<RelayCoordinator> hub) : m_hub(std::move(hub)) {}

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
    m_hub->hooks().metrics->counter("dandeliondock_control_refusals_total", errorKindName(errorKind(status))).add();
    LogEvent(LogLevel::Warn, "control.message_refused").error(status).write(m_hub->hooks().log);
    HttpResponse response;
    response.status = statusOf(errorKind(status));
    response.body = std::string(status.message());
    return response;
}

HttpResponse ControlListener::servePoll(const HttpRequest &request)
{
    const absl::StatusOr<PollRequest> poll = decodePollRequest(request.body, m_hub->identity().deployment);
    if (errorKind(poll.status()) == ErrorKind::WrongDeployment) {
        // The refusal is an answer of its own, so that the child drops this address for the round.
        HttpResponse response = refuse(poll.status());
        PollAnswer answer;
        answer.result = PollResult::WrongDeployment;
        response.status = 200;
        response.body = encodePollAnswer(answer);
        return response;
    }
    if (!poll.ok())
        return refuse(poll.status());
    HttpResponse response;
    response.body = encodePollAnswer(m_hub->servePoll(*poll));
    countBytes(request, response, poll->region);
    return response;
}

HttpResponse ControlListener::serveSnapshot(const HttpRequest &request)
{
    const auto wanted = decodeSnapshotRequest(request.body, m_hub->identity().deployment);
    if (!wanted.ok())
        return refuse(wanted.status());
    const MonotonicTime started = m_hub->hooks().time.monotonic();
    std::optional<Milliseconds> hint;
    {
        const std::scoped_lock lock(m_mutex);
        hint = m_admission.admit(started);
    }
    if (hint) {
        HttpResponse response = refuse(makeError(ErrorKind::Overloaded, "four snapshots are being served"));
        response.headers.add("Retry-After-Ms", absl::StrCat(hint->count()));
        return response;
    }
    HttpResponse response = sendSnapshot();
    {
        const std::scoped_lock lock(m_mutex);
        m_admission.finish(started, m_hub->hooks().time.monotonic());
    }
    countBytes(request, response, wanted->region);
    return response;
}

HttpResponse ControlListener::sendSnapshot()
{
    const std::shared_ptr<const std::string> bytes = m_snapshots.encoded(m_hub->hooks().config());
    m_hub->hooks().metrics->counter("dandeliondock_snapshots_served_total").add();
    HttpResponse response;
    response.body = *bytes;
    return response;
}

void ControlListener::countBytes(const HttpRequest &request, const HttpResponse &response,
                                 const RegionName &region) const
{
    constexpr std::size_t requestLineBytes = 12;
    const std::size_t received = request.method.size() + request.target.size() + requestLineBytes
                                 + sizeOf(request.headers) + request.body.size();
    const std::size_t sent = libraryHeaderBytes + sizeOf(response.headers) + response.body.size();
    MetricsRegistry &metrics = *m_hub->hooks().metrics;
    metrics.counter("dandeliondock_control_bytes_total", "from_children").add(received);
    metrics.counter("dandeliondock_control_bytes_total", "to_children").add(sent);
    if (region != m_hub->identity().region)
        metrics.counter("dandeliondock_control_bytes_total", "other_region").add(received + sent);
}

void ControlListener::sweep()
{
    PauseDetector detector;
    std::unique_lock lock(m_mutex);
    while (!m_stopRequested) {
        lock.unlock();
        if (detector.onTick(m_hub->hooks().time.monotonic())) {
            m_hub->hooks().metrics->counter("dandeliondock_pauses_total").add();
            LogEvent(LogLevel::Warn, "node.paused").write(m_hub->hooks().log);
            m_hub->onPause();
        }
        m_hub->hooks().onLivenessTick();
        m_hub->expireChildren();
        lock.lock();
        m_stopping.wait_for(lock, sweepInterval, [this] { return m_stopRequested; });
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
    m_stopping.notify_all();
    m_hub->leave();
    if (m_sweeper.joinable())
        m_sweeper.join();
    if (!m_server)
        return;
    m_server->startDraining();
    if (!m_server->waitForRequests(drainLimit))
        LogEvent(LogLevel::Warn, "control.drain_timed_out").write(m_hub->hooks().log);
    m_server->stop();
}

ControlListenerBuilder &ControlListenerBuilder::listen(std::string address, std::uint16_t port)
{
    m_address = std::move(address);
    m_port = port;
    return *this;
}

ControlListenerBuilder &ControlListenerBuilder::hub(std::shared_ptr<RelayCoordinator> hub)
{
    m_hub = std::move(hub);
    return *this;
}

absl::StatusOr<std::unique_ptr<ControlListener>> ControlListenerBuilder::start()
{
    constexpr ByteCount maxPollBytes{16U << 20U};
    std::unique_ptr<ControlListener> listener(new ControlListener(m_hub));
    ControlListener *self = listener.get();
    auto server = HttpServerBuilder()
                          .listen(m_address, m_port)
                          .maxBody(maxPollBytes)
                          .handler([self](const HttpRequest &request) { return self->serve(request); })
                          .start();
    if (!server.ok())
        return server.status();
    listener->m_server = *std::move(server);
    listener->m_sweeper = std::thread([self] { self->sweep(); });
    return listener;
}

} // namespace dandeliondock
