// Runs Feedshare's deployment on the loopback interface: tickets, requests, a good and a bad version.
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

constexpr std::chrono::seconds patience{30};
constexpr std::chrono::milliseconds requestPause{4};
constexpr int rolloutSeconds = 25;
constexpr int observationMs = 4'000;

/// \brief What callers saw of one version.
struct VersionTally
{
    std::atomic<int> answered{0};
    std::atomic<int> failed{0};
};

/// \brief Sends price lookups through every node in turn until it is stopped.
class Traffic
{
public:
    explicit Traffic(TestCluster &fleet) : m_fleet(fleet), m_thread([this] { run(); }) {}

    ~Traffic()
    {
        m_stop = true;
        m_thread.join();
    }

    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

    [[nodiscard]] std::string summary() const
    {
        std::string text;
        for (const auto &[version, tally] : m_tallies)
            absl::StrAppend(&text, "    ", version, ": ", tally.answered.load(), " answered, ", tally.failed.load(),
                            " failed\n");
        return text;
    }

private:
    void run()
    {
        for (std::size_t turn = 0; !m_stop; ++turn) {
            send(*m_fleet.nodes()[turn % m_nodes]);
            std::this_thread::sleep_for(requestPause);
        }
    }

    void send(const NodeProcess &node)
    {
        const SendResult result = m_fleet.call(node, {"GET", "/pricing/finisher", {}, {}});
        if (!result.response.ok()) {
            ++m_tallies.at("no answer").failed;
            return;
        }
        const std::string version(result.response->headers.first("X-Version").value_or("no answer"));
        const auto tally = m_tallies.find(version);
        if (tally == m_tallies.end())
            return;
        ++(result.response->status < 500 ? tally->second.answered : tally->second.failed);
    }

    TestCluster &m_fleet;
    std::size_t m_nodes = m_fleet.nodes().size();
    std::atomic<bool> m_stop{false};
    std::map<std::string, VersionTally> m_tallies = makeTallies();
    std::thread m_thread;

    static std::map<std::string, VersionTally> makeTallies()
    {
        std::map<std::string, VersionTally> tallies;
        for (const char *version : {"v1", "v2", "v3", "no answer"})
            tallies[version];
        return tallies;
    }
};

std::string serviceJson(const std::string &name, const std::string &rest)
{
    return absl::StrCat(R"({"service": {"name": ")", name, R"(", "slots_per_target": 20, "connections_per_target": 130,
        "shed_status": 503, "drain_header": "X-Draining", )",
                        rest, "}}");
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
    const std::string plan = absl::StrCat(R"("version": ")", to, R"(", "previous_version": ")", from,
                                          R"(", "rollout": {"deadline_unix_ms": ")", deadline.count(),
                                          R"(", "observation_ms": )", observationMs, "}");
    return absl::StrCat(R"({"number": )", number, R"(, "author": "grace", "note": "pricing )", to,
                        R"(", "resources": [)", versionJson("pricing", to), ",", serviceJson("pricing", plan), "]}");
}

void startNodes(TestCluster &fleet)
{
    const std::vector<std::pair<std::string, std::string>> places = {
            {"east-mids", "em-1"}, {"east-mids", "em-2"}, {"west-mids", "wm-1"}, {"west-mids", "wm-2"}};
    for (const auto &[region, dataCentre] : places) {
        for (const char *service : {"pricing", "ledger", "documents"})
            fleet.startNode(
                    {absl::StrCat(dataCentre, "-", service), region, dataCentre, TargetSpec{service, "v1", 20, {}}});
    }
}

void startVersion(TestCluster &fleet, const std::string &version, const std::vector<std::string> &flags)
{
    for (const char *dataCentre : {"em-1", "wm-1"}) {
        const std::string region = dataCentre[0] == 'e' ? "east-mids" : "west-mids";
        fleet.startNode({absl::StrCat(dataCentre, "-pricing-", version), region, dataCentre,
                         TargetSpec{"pricing", version, 20, flags}});
    }
}

bool require(bool holds, const char *what)
{
    if (!holds)
        std::printf("FAILED: %s\n", what);
    return holds;
}

bool showOrders(TestCluster &fleet)
{
    int answered = 0;
    for (const auto &node : fleet.nodes()) {
        const SendResult result = fleet.call(*node, {"POST", "/orders?mill=7", {}, "finisher ration, 4 t"});
        answered += result.response.ok() && result.response->status == 200 ? 1 : 0;
    }
    std::printf("  %d of %zu orders, one through each node, were answered\n", answered, fleet.nodes().size());
    return require(answered == static_cast<int>(fleet.nodes().size()), "every order is answered");
}

bool runRollout(TestCluster &fleet, int number, const std::string &from, const std::string &to, int expectedExit)
{
    std::string output;
    if (fleet.fileTicket(*fleet.nodes().front(), rolloutTicket(number, from, to), &output) != 0) {
        std::printf("%s", output.c_str());
        return require(false, "the ticket is accepted");
    }
    const std::string limit = absl::StrCat("--wait_ms=", (rolloutSeconds + 15) * 1'000);
    const int code =
            fleet.ticket(*fleet.nodes().front(), {"wait", absl::StrCat(number), "--until=completed", limit}, &output);
    std::printf("%s", output.c_str());
    return require(code == expectedExit, "the rollout ends as expected");
}

bool run()
{
    constexpr int exitSuccess = 0;
    constexpr int exitRolledBack = 5;
    TestCluster fleet("feedshare-demo", "east-mids");
    std::printf("1. Starting a platform stand-in, 12 targets and 12 nodes in 4 data centres\n");
    startNodes(fleet);
    const bool up = eventually(
            [&] {
                return std::all_of(fleet.nodes().begin(), fleet.nodes().end(),
                                   [&](const auto &node) { return fleet.status(*node).has_value(); });
            },
            patience);
    if (!require(up, "every node answers"))
        return false;
    std::printf("2. Filing ticket 1 (services pricing, ledger, documents and their routes)\n");
    std::string output;
    if (!require(fleet.fileTicket(*fleet.nodes().front(), setupTicket(), &output) == 0, "ticket 1 is accepted"))
        return false;
    (void)fleet.ticket(*fleet.nodes().front(), {"wait", "1", "--until=in_force", "--wait_ms=30000"}, &output);
    std::printf("%s", output.c_str());
    if (!require(eventually([&] { return fleet.allNodesAtRevision(1); }, patience), "every node holds revision 1"))
        return false;
    std::printf("3. Sending orders, which must not run twice\n");
    if (!eventually(
                [&] {
                    return fleet.call(*fleet.nodes().back(), {"GET", "/orders", {}, {}}).response->status == 200;
                },
                patience)
        || !showOrders(fleet))
        return false;
    startVersion(fleet, "v2", {});
    startVersion(fleet, "v3", {R"(--behaviour={"fault": {"kind": "KIND_STATUS", "status": 500}})"});
    Traffic traffic(fleet);
    std::printf("4. Rolling out pricing v2, which is good, under a steady load of lookups\n");
    const bool good = runRollout(fleet, 2, "v1", "v2", exitSuccess);
    std::printf("5. Rolling out pricing v3, which fails its requests\n");
    const bool bad = runRollout(fleet, 3, "v2", "v3", exitRolledBack);
    std::printf("  what callers saw of pricing in steps 4 and 5:\n%s", traffic.summary().c_str());
    return good && bad;
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const bool passed = run();
    std::printf("%s\n", passed ? "Everything happened as promised." : "Something did not happen as promised.");
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
