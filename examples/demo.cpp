// Runs an example deployment, Feedshare's, on the loopback interface: files tickets, sends requests, and rolls out a
// good and a bad version.
#include "support/test_cluster.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <thread>
#include <vector>

namespace {

using namespace dandeliondock;
using namespace dandeliondock::testing;

constexpr std::chrono::seconds waitTimeout{30};
constexpr std::chrono::milliseconds requestInterval{4};
constexpr int rolloutSeconds = 25;
constexpr int observationMs = 4'000;

/// \brief Results of the requests that one version received.
struct VersionTally
{
    std::atomic<int> succeeded{0};
    std::atomic<int> failed{0};
};

/// \brief Sends price lookups through every node in turn until it is destroyed.
class LookupTraffic
{
public:
    explicit LookupTraffic(TestCluster &cluster) : m_cluster(cluster), m_thread([this] { run(); }) {}

    ~LookupTraffic()
    {
        m_stop = true;
        m_thread.join();
    }

    LookupTraffic(const LookupTraffic &) = delete;
    LookupTraffic &operator=(const LookupTraffic &) = delete;

    [[nodiscard]] std::string summary() const
    {
        std::string text;
        for (const auto &[version, tally] : m_tallies)
            absl::StrAppend(&text, "    ", version, ": ", tally.succeeded.load(), " succeeded, ", tally.failed.load(),
                            " failed\n");
        return text;
    }

private:
    void run()
    {
        for (std::size_t index = 0; !m_stop; ++index) {
            sendLookup(*m_cluster.nodes()[index % m_nodeCount]);
            std::this_thread::sleep_for(requestInterval);
        }
    }

    void sendLookup(const NodeProcess &node)
    {
        const SendResult result = m_cluster.call(node, {"GET", "/pricing/finisher", {}, {}});
        if (!result.response.ok()) {
            ++m_tallies.at("no response").failed;
            return;
        }
        const std::string version(result.response->headers.first("X-Version").value_or("no response"));
        const auto tally = m_tallies.find(version);
        if (tally == m_tallies.end())
            return;
        ++(result.response->status < 500 ? tally->second.succeeded : tally->second.failed);
    }

    TestCluster &m_cluster;
    std::size_t m_nodeCount = m_cluster.nodes().size();
    std::atomic<bool> m_stop{false};
    std::map<std::string, VersionTally> m_tallies = makeTallies();
    std::thread m_thread;

    static std::map<std::string, VersionTally> makeTallies()
    {
        std::map<std::string, VersionTally> tallies;
        for (const char *version : {"v1", "v2", "v3", "no response"})
            tallies[version];
        return tallies;
    }
};

std::string serviceJson(const std::string &name, const std::string &fields)
{
    return absl::StrCat(R"({"service": {"name": ")", name, R"(", "slots_per_target": 20, "connections_per_target": 130,
        "shed_status": 503, "drain_header": "X-Draining", )",
                        fields, "}}");
}

std::string routeJson(const std::string &name, const std::string &service, bool idempotent,
                      const std::string &workClass)
{
    return absl::StrCat(R"({"route": {"name": ")", name, R"(", "path_prefix": "/)", name, R"(", "service": ")", service,
                        R"(", "timeout_ms": 1000, "work_class": "WORK_CLASS_)", workClass, R"(", "idempotent": )",
                        idempotent ? "true" : "false", "}}");
}

std::string versionJson(const std::string &service, const std::string &version)
{
    return absl::StrCat(R"({"version": {"service": ")", service, R"(", "name": ")", version, R"("}})");
}

std::string setupTicket()
{
    return absl::StrCat(
            R"({"number": 1, "author": "ada", "note": "first set-up", "resources": [)", versionJson("pricing", "v1"),
            ",", versionJson("ledger", "v1"), ",", versionJson("documents", "v1"), ",",
            serviceJson("pricing", R"("version": "v1")"), ",", serviceJson("ledger", R"("version": "v1")"), ",",
            serviceJson("documents", R"("version": "v1")"), ",", routeJson("pricing", "pricing", true, "INTERACTIVE"),
            ",", routeJson("orders", "ledger", false, "CRITICAL"), ",",
            routeJson("documents", "documents", true, "DEFERRABLE"), "]}");
}

std::string rolloutTicket(int number, const std::string &from, const std::string &to)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto deadline =
            std::chrono::duration_cast<std::chrono::milliseconds>(now + std::chrono::seconds(rolloutSeconds));
    const std::string serviceFields = absl::StrCat(R"("version": ")", to, R"(", "previous_version": ")", from,
                                                   R"(", "rollout": {"deadline_unix_ms": ")", deadline.count(),
                                                   R"(", "observation_ms": )", observationMs, "}");
    return absl::StrCat(R"({"number": )", number, R"(, "author": "grace", "note": "pricing )", to,
                        R"(", "resources": [)", versionJson("pricing", to), ",", serviceJson("pricing", serviceFields),
                        "]}");
}

void startNodes(TestCluster &cluster)
{
    const std::vector<std::pair<std::string, std::string>> locations = {
            {"east-mids", "em-1"}, {"east-mids", "em-2"}, {"west-mids", "wm-1"}, {"west-mids", "wm-2"}};
    for (const auto &[region, dataCentre] : locations) {
        for (const char *service : {"pricing", "ledger", "documents"})
            cluster.startNode(
                    {absl::StrCat(dataCentre, "-", service), region, dataCentre, TargetSpec{service, "v1", 20, {}}});
    }
}

void startVersion(TestCluster &cluster, const std::string &version, const std::vector<std::string> &flags)
{
    for (const char *dataCentre : {"em-1", "wm-1"}) {
        const std::string region = dataCentre[0] == 'e' ? "east-mids" : "west-mids";
        cluster.startNode({absl::StrCat(dataCentre, "-pricing-", version), region, dataCentre,
                           TargetSpec{"pricing", version, 20, flags}});
    }
}

bool expect(bool condition, const char *expectation)
{
    if (!condition)
        std::printf("FAILED: %s\n", expectation);
    return condition;
}

bool sendOrders(TestCluster &cluster)
{
    int succeeded = 0;
    for (const auto &node : cluster.nodes()) {
        const SendResult result = cluster.call(*node, {"POST", "/orders?mill=7", {}, "finisher ration, 4 t"});
        succeeded += result.response.ok() && result.response->status == 200 ? 1 : 0;
    }
    std::printf("  %d of %zu orders, one through each node, succeeded\n", succeeded, cluster.nodes().size());
    return expect(succeeded == static_cast<int>(cluster.nodes().size()), "every order succeeds");
}

bool runRollout(TestCluster &cluster, int number, const std::string &from, const std::string &to, int expectedExit)
{
    std::string output;
    if (cluster.fileTicket(*cluster.nodes().front(), rolloutTicket(number, from, to), &output) != 0) {
        std::printf("%s", output.c_str());
        return expect(false, "the ticket is accepted");
    }
    const std::string limit = absl::StrCat("--wait_ms=", (rolloutSeconds + 15) * 1'000);
    const int exitCode = cluster.ticket(*cluster.nodes().front(),
                                        {"wait", absl::StrCat(number), "--until=completed", limit}, &output);
    std::printf("%s", output.c_str());
    return expect(exitCode == expectedExit, "the rollout ends as expected");
}

bool run()
{
    constexpr int exitSuccess = 0;
    constexpr int exitRolledBack = 5;
    TestCluster cluster("feedshare-demo", "east-mids");
    std::printf("1. Starting a platform stand-in, 12 targets and 12 nodes in 4 data centres\n");
    startNodes(cluster);
    const bool isUp = eventually(
            [&] {
                return std::all_of(cluster.nodes().begin(), cluster.nodes().end(),
                                   [&](const auto &node) { return cluster.status(*node).has_value(); });
            },
            waitTimeout);
    if (!expect(isUp, "every node responds"))
        return false;
    std::printf("2. Filing ticket 1 (services pricing, ledger, documents and their routes)\n");
    std::string output;
    if (!expect(cluster.fileTicket(*cluster.nodes().front(), setupTicket(), &output) == 0, "ticket 1 is accepted"))
        return false;
    (void)cluster.ticket(*cluster.nodes().front(), {"wait", "1", "--until=in_force", "--wait_ms=30000"}, &output);
    std::printf("%s", output.c_str());
    if (!expect(eventually([&] { return cluster.allNodesAtRevision(1); }, waitTimeout),
                "every node has applied revision 1"))
        return false;
    std::printf("3. Sending orders, which must not be executed twice\n");
    if (!eventually(
                [&] {
                    return cluster.call(*cluster.nodes().back(), {"GET", "/orders", {}, {}}).response->status == 200;
                },
                waitTimeout)
        || !sendOrders(cluster))
        return false;
    startVersion(cluster, "v2", {});
    startVersion(cluster, "v3", {R"(--behaviour={"fault": {"kind": "KIND_STATUS", "status": 500}})"});
    LookupTraffic traffic(cluster);
    std::printf("4. Rolling out pricing v2, which is good, under a steady load of lookups\n");
    const bool isGoodCompleted = runRollout(cluster, 2, "v1", "v2", exitSuccess);
    std::printf("5. Rolling out pricing v3, which fails its requests\n");
    const bool isBadRolledBack = runRollout(cluster, 3, "v2", "v3", exitRolledBack);
    std::printf("  results of the lookups in steps 4 and 5, by version:\n%s", traffic.summary().c_str());
    return isGoodCompleted && isBadRolledBack;
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const bool passed = run();
    std::printf("%s\n", passed ? "All steps ended as expected." : "A step did not end as expected.");
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
