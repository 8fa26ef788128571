#include <dandeliondock/node/node.h>

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/http/server.h>
#include <dandeliondock/node/operator_api.h>
#include <dandeliondock/node/ticket_service.h>
#include <dandeliondock/store/http_store.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <status.pb.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace dandeliondock {

namespace {

constexpr Milliseconds storeTimeout{2'000};
constexpr Milliseconds storePollInterval{250};
constexpr const char *outcomeHeader = "X-Dandeliondock-Outcome";

const Route *matchRoute(const ConfigState &state, absl::string_view path)
{
    const Route *best = nullptr;
    for (const auto &[key, stamped] : state.resources()) {
        const Route *route = stamped.resource ? std::get_if<Route>(&*stamped.resource) : nullptr;
        if (route == nullptr || !absl::StartsWith(path, route->pathPrefix))
            continue;
        if (best == nullptr || route->pathPrefix.size() > best->pathPrefix.size())
            best = route;
    }
    return best;
}

} // namespace

struct Node::Impl
{
    NodeSettings settings;
    LogSink log;
    Metrics metrics;
    TimeSource time = systemTime();
    std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>();
    ConfigStore config;
    StoreHooks store;
    std::unique_ptr<TicketService> tickets;
    std::unique_ptr<OperatorApi> operatorApi;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> operators;
    std::mutex mutex;
    std::condition_variable stopping;
    bool stopRequested = false;
    std::thread storeThread;

    void pollStore()
    {
        std::unique_lock lock(mutex);
        while (!stopRequested) {
            lock.unlock();
            pollStoreOnce();
            lock.lock();
            stopping.wait_for(lock, storePollInterval, [this] { return stopRequested; });
        }
    }

    void pollStoreOnce()
    {
        const RevisionNumber before = config.current()->revision();
        const absl::StatusOr<RevisionNumber> head = readHead(store);
        const absl::Status status = head.ok() ? readRevisions(store, *head, config) : head.status();
        const RevisionNumber after = config.current()->revision();
        if (!status.ok()) {
            metrics.counter("dandeliondock_store_errors_total", errorKindName(errorKind(status))).add();
            LogEvent(LogLevel::Warn, "store.poll_failed").error(status).write(log);
        }
        if (after != before)
            LogEvent(LogLevel::Info, "config.applied").field("revision", after).write(log);
    }

    HttpResponse serveCaller(const HttpRequest &request)
    {
        const ConfigSnapshot state = config.current();
        const Route *route = matchRoute(*state, request.target);
        if (route == nullptr)
            return refuseCaller(makeError(ErrorKind::NotFound, "no route matches the request"));
        const Service *service = state->service(route->service);
        if (!settings.target || settings.target->service != route->service
            || settings.target->version != service->version)
            return refuseCaller(makeError(ErrorKind::NoTarget, absl::StrCat("no target of ", service->name.value())));
        SendOptions options;
        options.timeout = route->timeout;
        const SendResult result = client->send(settings.target->address, request, options);
        if (!result.response.ok())
            return refuseCaller(result.response.status());
        metrics.counter("dandeliondock_requests_total", "answered").add();
        return *result.response;
    }

    HttpResponse refuseCaller(const absl::Status &status)
    {
        const ErrorKind kind = errorKind(status);
        metrics.counter("dandeliondock_refusals_total", errorKindName(kind)).add();
        HttpResponse response = refusalResponse(status);
        const bool mayHaveRun =
                kind == ErrorKind::MayHaveRun || kind == ErrorKind::DeadlineExceeded || kind == ErrorKind::Truncated;
        response.headers.add(outcomeHeader, mayHaveRun ? "may-have-run" : "not-run");
        return response;
    }

    OperatorHooks operatorHooks()
    {
        OperatorHooks hooks;
        hooks.file = [this](const Ticket &ticket) { return tickets->file(ticket); };
        hooks.accepted = [this](TicketNumber number) { return tickets->accepted(number); };
        hooks.list = [this](TicketNumber from, std::size_t limit) { return tickets->list(from, limit); };
        hooks.statusView = [this] {
            return TicketStatusView{{config.current()->revision(), 1}, {}, true, time.wall()};
        };
        hooks.status = [this] { return status(); };
        hooks.metricsPage = [this] { return metrics.page(); };
        hooks.keyMatches = [this](absl::string_view key) { return equalInConstantTime(key, settings.operatorKey); };
        hooks.log = log;
        return hooks;
    }

    wire::NodeStatus status()
    {
        wire::NodeStatus message;
        message.set_node(settings.node.value());
        message.set_deployment(settings.deployment.value());
        message.set_region(settings.region.value());
        message.set_data_centre(settings.dataCentre.value());
        message.set_revision(config.current()->revision().value());
        return message;
    }
};

Node::Node(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Node::~Node()
{
    stop();
}

absl::StatusOr<std::shared_ptr<Node>> Node::start(NodeSettings settings, LogSink log)
{
    auto impl = std::make_unique<Impl>();
    Impl *self = impl.get();
    impl->settings = std::move(settings);
    impl->log = std::move(log);
    impl->store = httpStore(impl->client, impl->settings.store, storeTimeout);
    impl->tickets = std::make_unique<TicketService>(impl->store, impl->time);
    impl->operatorApi = std::make_unique<OperatorApi>(impl->operatorHooks());
    auto callers = HttpServerBuilder()
                           .listen(impl->settings.callers.address, impl->settings.callers.port)
                           .maxBody(impl->settings.maxBody)
                           .handler([self](const HttpRequest &request) { return self->serveCaller(request); })
                           .start();
    if (!callers.ok())
        return callers.status();
    impl->callers = *std::move(callers);
    auto operators = HttpServerBuilder()
                             .listen(impl->settings.operators.address, impl->settings.operators.port)
                             .handler([self](const HttpRequest &request) { return self->operatorApi->serve(request); })
                             .start();
    if (!operators.ok())
        return operators.status();
    impl->operators = *std::move(operators);
    impl->storeThread = std::thread([self] { self->pollStore(); });
    LogEvent(LogLevel::Info, "node.started")
            .field("node", impl->settings.node)
            .field("callers_port", impl->callers->port())
            .field("operators_port", impl->operators->port())
            .write(impl->log);
    return std::shared_ptr<Node>(new Node(std::move(impl)));
}

void Node::stop()
{
    {
        const std::scoped_lock lock(m_impl->mutex);
        if (m_impl->stopRequested)
            return;
        m_impl->stopRequested = true;
    }
    m_impl->stopping.notify_all();
    m_impl->callers->quiesce();
    const bool idle = m_impl->callers->waitIdle(m_impl->settings.drain);
    m_impl->callers->stop();
    m_impl->operators->quiesce();
    m_impl->operators->stop();
    m_impl->storeThread.join();
    LogEvent(LogLevel::Info, "node.stopped").field("drained", idle).write(m_impl->log);
}

} // namespace dandeliondock
