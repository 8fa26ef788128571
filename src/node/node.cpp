#include <dandeliondock/node/node.h>

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/http/server.h>
#include <dandeliondock/node/control_listener.h>
#include <dandeliondock/node/lease_keeper.h>
#include <dandeliondock/node/operator_api.h>
#include <dandeliondock/node/relay_hub.h>
#include <dandeliondock/node/ticket_service.h>
#include <dandeliondock/node/uplink.h>
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
    std::shared_ptr<RelayHub> hub;
    std::unique_ptr<ControlListener> controlListener;
    std::shared_ptr<LeaseKeeper> leaseKeeper;
    std::unique_ptr<Uplink> uplink;

    ControlHooks controlHooks()
    {
        ControlHooks hooks = inertHooks();
        hooks.config = [this] { return config.current(); };
        hooks.applyRevision = [this](const Revision &revision) { return config.apply(revision); };
        hooks.mergeSnapshot = [this](ConfigState state) { config.mergeSnapshot(std::move(state)); };
        hooks.store = store;
        hooks.send = [this](const Address &to, const HttpRequest &request, const SendOptions &options) {
            return client->send(to, request, options);
        };
        hooks.time = time;
        hooks.random = systemRandom;
        hooks.log = log;
        hooks.metrics = &metrics;
        return hooks;
    }

    ControlIdentity controlIdentity() const
    {
        ControlIdentity identity;
        identity.deployment = settings.deployment;
        identity.node = settings.node;
        identity.incarnation = Incarnation(static_cast<std::uint64_t>(time.wall().time_since_epoch().count()));
        identity.region = settings.region;
        identity.dataCentre = settings.dataCentre;
        identity.storeRegion = settings.storeRegion;
        identity.controlAddress = Address(absl::StrCat(settings.nodes.address, ":", settings.nodes.port));
        identity.peers = settings.peers;
        identity.fanOut = settings.fanOut;
        identity.hold = settings.pollHold;
        return identity;
    }

    absl::Status startDistribution()
    {
        if (settings.distribution == DistributionMode::Polling) {
            storeThread = std::thread([this] { pollStore(); });
            return absl::OkStatus();
        }
        hub = std::make_shared<RelayHub>(controlIdentity(), controlHooks());
        auto listener = ControlListenerBuilder().listen(settings.nodes.address, settings.nodes.port).hub(hub).start();
        if (!listener.ok())
            return listener.status();
        controlListener = *std::move(listener);
        leaseKeeper = std::make_shared<LeaseKeeper>(hub);
        uplink = std::make_unique<Uplink>(hub, leaseKeeper);
        return absl::OkStatus();
    }

    void stopDistribution()
    {
        if (storeThread.joinable())
            storeThread.join();
        if (!hub)
            return;
        uplink->stop();
        controlListener->stop();
        leaseKeeper->stop();
    }

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
        if (hub)
            fillPlace(message);
        return message;
    }

    void fillPlace(wire::NodeStatus &message) const
    {
        message.set_ready(hub->ready());
        for (const NodeId &node : hub->path())
            message.add_path(node.value());
        message.set_children(static_cast<std::uint32_t>(hub->children()));
        for (const RowKey &key : leaseKeeper->held())
            message.add_leases(key.value());
        const AcknowledgementSum sum = hub->treeAcknowledgement();
        message.mutable_acknowledgement()->set_lowest_revision(sum.lowest.value());
        message.mutable_acknowledgement()->set_nodes(sum.nodes.value());
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
    if (absl::Status status = impl->startDistribution(); !status.ok())
        return status;
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
    m_impl->stopDistribution();
    LogEvent(LogLevel::Info, "node.stopped").field("drained", idle).write(m_impl->log);
}

} // namespace dandeliondock
