#include "support/relay_fleet.h"

#include "support/child_process.h"
#include "support/table_versions.h"

#include <dandeliondock/core/error.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace dandeliondock::testing {
namespace {

const TableName operatorTable("operator");
const TableName sharedTable("shared");

} // namespace

PeerFleet::PeerFleet()
{
    for (std::size_t index = 0; index < fleetSize; ++index)
        m_peers.push_back({fleetRegion, Address(absl::StrCat("127.0.0.1:", freePort()))});
    std::sort(m_peers.begin(), m_peers.end());
    m_thread.run([this] {
        TableRelayServerDependencies dependencies;
        dependencies.loop = &m_thread.loop();
        dependencies.metrics = &m_metrics;
        dependencies.fleetSize = [] { return fleetSize; };
        m_relayServer = std::make_unique<TableRelayServer>(std::move(dependencies));
        m_relayServer->setCurrent(operatorTable, true);
        m_relayServer->setCurrent(sharedTable, true);
        for (const RelayPeer &peer : m_peers)
            listen(peer.address);
    });
    change(tableVersion(1), true);
}

PeerFleet::~PeerFleet()
{
    m_thread.run([this] {
        m_servers.clear();
        m_relayServer.reset();
    });
}

void PeerFleet::change(const TableVersion &version, bool isFull)
{
    TableReadResult result;
    result.put({RowKey("a"), version.version, "value"});
    result.asOfVersion = version;
    {
        const std::scoped_lock lock(m_platformMutex);
        m_platformRows = result;
    }
    m_thread.run([&] {
        m_relayServer->apply(operatorTable, result, isFull);
        m_relayServer->apply(sharedTable, result, isFull);
    });
}

TableReadResult PeerFleet::platformRows()
{
    const std::scoped_lock lock(m_platformMutex);
    return m_platformRows;
}

void PeerFleet::confirmFor(Milliseconds time)
{
    constexpr Milliseconds interval{150};
    TableReadResult result;
    result.asOfVersion = tableVersion(1);
    for (Milliseconds elapsed{0}; elapsed < time; elapsed += interval) {
        std::this_thread::sleep_for(interval);
        m_thread.run([&] {
            m_relayServer->apply(operatorTable, result, false);
            m_relayServer->apply(sharedTable, result, false);
        });
    }
}

void PeerFleet::setRoundTrip(Milliseconds roundTrip)
{
    m_thread.run([&] { m_roundTrip = roundTrip; });
}

void PeerFleet::stopResponding(const Address &address)
{
    m_thread.run([&] { m_unresponsive.insert(address); });
}

void PeerFleet::stopRespondingAll()
{
    m_thread.run([&] {
        for (const RelayPeer &peer : m_peers)
            m_unresponsive.insert(peer.address);
    });
}

void PeerFleet::respondAgain()
{
    m_thread.run([&] { m_unresponsive.clear(); });
}

void PeerFleet::listen(const Address &address)
{
    auto server = std::make_unique<AsyncHttpServer>(
            m_thread.loop(), [this, address](const HttpRequestContextPtr &activeRequest) {
                if (!m_unresponsive.contains(address))
                    runDelayed([this, address, activeRequest] { handle(address, activeRequest); });
            });
    if (!server->listen(address).ok()) {
        std::cerr << "cannot listen on " << address.value() << std::endl;
        std::abort();
    }
    m_servers.push_back(std::move(server));
}

void PeerFleet::handle(const Address &address, const HttpRequestContextPtr &activeRequest)
{
    m_relayServer->handle(activeRequest->request().body.text(),
                          [this, address, activeRequest](int status, const std::string &body) {
                              if (m_unresponsive.contains(address))
                                  return;
                              runDelayed([activeRequest, status, body] {
                                  HttpResponse response;
                                  response.status = status;
                                  response.body = body;
                                  activeRequest->respond(std::move(response));
                              });
                          });
}

void PeerFleet::runDelayed(std::function<void()> work)
{
    const std::uint64_t id = ++m_lastTimer;
    m_timers[id] = m_thread.loop().after(m_roundTrip / 2, [this, id, work = std::move(work)] {
        const LoopTimer timer = std::move(m_timers[id]);
        m_timers.erase(id);
        work();
    });
}

ChildProxy::ChildProxy(PeerFleet &fleet, const Address &address, Platform platform)
{
    m_thread.run([&] {
        m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
        m_relayClient = std::make_unique<TableRelayClient>(dependencies(fleet, address, platform));
        m_hooks = m_relayClient->hooks();
        for (const TableName &table : {operatorTable, sharedTable})
            m_watches.push_back(makeWatch(table));
        for (const auto &watch : m_watches)
            watch->start();
    });
}

ChildProxy::~ChildProxy()
{
    m_thread.run([this] {
        m_watches.clear();
        m_relayClient.reset();
        m_client.reset();
    });
}

TableRelayClientDependencies ChildProxy::dependencies(PeerFleet &fleet, const Address &address, Platform platform)
{
    TableRelayClientDependencies dependencies;
    dependencies.loop = &m_thread.loop();
    dependencies.client = m_client.get();
    dependencies.self = {fleetRegion, address};
    dependencies.peers = [peers = fleet.peers()] { return peers; };
    dependencies.metrics = &m_metrics;
    dependencies.loopLateness = [] { return Milliseconds{0}; };
    dependencies.log = [this](LogLevel, const std::string &line) { addLine(line); };
    dependencies.platform.list = [this, &fleet](const TableName &, const TableReadHandler &handler) {
        ++platformLists;
        m_thread.loop().post([handler, result = fleet.platformRows()] { handler(result); });
    };
    dependencies.platform.pollChanges = [this, &fleet, platform](const TableName &, const TableVersion &,
                                                                 Milliseconds hold, const TableReadHandler &handler) {
        ++platformPolls;
        if (platform == Platform::Refuses) {
            m_thread.loop().post([handler] { handler(makeError(ErrorKind::StoreUnavailable, "refused")); });
            return;
        }
        const auto timer = std::make_shared<LoopTimer>();
        *timer = m_thread.loop().after(hold / 4, [handler, timer, &fleet] {
            const LoopTimer ended = std::move(*timer);
            handler(fleet.platformRows());
        });
    };
    return dependencies;
}

Milliseconds ChildProxy::waitFor(const TableVersion &version, Milliseconds timeout)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto elapsed = [&begin] {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
    };
    while (elapsed() < timeout && !hasVersion(version))
        std::this_thread::sleep_for(Milliseconds(5));
    return elapsed();
}

std::vector<std::string> ChildProxy::lines(const std::string &event)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::string> found;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(found),
                 [&event](const std::string &line) { return absl::StrContains(line, event); });
    return found;
}

std::unique_ptr<TableWatch> ChildProxy::makeWatch(const TableName &table)
{
    return std::make_unique<TableWatch>(
            m_thread.loop(), m_hooks, table, WatchTiming(), seededRandom(1), LogSink(),
            [this, table](const TableReadResult &result, bool) {
                const std::scoped_lock lock(m_mutex);
                m_knownVersions[table] = std::max(m_knownVersions[table], result.asOfVersion);
            },
            [](bool) {});
}

bool ChildProxy::hasVersion(const TableVersion &version)
{
    const std::scoped_lock lock(m_mutex);
    return m_knownVersions[operatorTable] >= version && m_knownVersions[sharedTable] >= version;
}

void ChildProxy::addLine(const std::string &line)
{
    const std::scoped_lock lock(m_mutex);
    m_lines.push_back(line);
}

} // namespace dandeliondock::testing
