// Measures convergence time, control bytes and the resources that a node uses, for different numbers of node processes,
// with the relay tree and with the baseline in which every node polls the store. Run with: build/bench/bench-fleet
#include "support/test_cluster.h"

#include <dandeliondock/codec/protobuf_codec.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <vector>

#include <standin.pb.h>

DEFINE_string(sizes, "8,16,32,64", "numbers of nodes");
DEFINE_string(modes, "tree,polling", "values of the setting distribution to measure");
DEFINE_uint32(tickets, 12, "tickets filed for each number of nodes");
DEFINE_uint32(idle_ms, 6'000, "duration of the idle measurement in milliseconds");
DEFINE_bool(herd, true, "also kill half of the nodes at once and restart them");
DEFINE_string(csv, "", "path of a file to which the rows are written as comma-separated values");

namespace {

using namespace dandeliondock;
using namespace dandeliondock::testing;

constexpr std::chrono::seconds waitTimeout{60};
constexpr std::chrono::milliseconds settleDuration{4'000};
// Not a multiple of the poll interval of the baseline.
constexpr std::chrono::milliseconds ticketPause{370};

/// \brief Resources that one node has used since its start.
struct Usage
{
    double controlBytes = 0;
    double otherRegionBytes = 0;
    double processorSeconds = 0;
    double residentBytes = 0;
};

/// \brief One row of the report.
struct Row
{
    std::string mode;
    std::size_t nodes = 0;
    double convergenceMedianMs = 0;
    double convergenceP99Ms = 0;
    double convergenceMaxMs = 0;
    double bytesPerTicketPerNode = 0;
    double idleBytesPerSecond = 0;
    double maxIdleBytesPerSecond = 0;
    double otherRegionBytesPerSecond = 0;
    double idleCorePercent = 0;
    double residentMegabytes = 0;
    double storeReadsPerSecond = 0;
    double restartSeconds = 0;
    double restartStoreReads = 0;
};

std::string readText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Fields 14 and 15 of /proc/PID/stat are the user and system time in clock ticks.
double processorSeconds(pid_t pid)
{
    const std::string stat = readText(absl::StrCat("/proc/", pid, "/stat"));
    const std::vector<std::string> fields = absl::StrSplit(stat.substr(stat.rfind(')') + 2), ' ');
    double user = 0;
    double system = 0;
    if (fields.size() < 13 || !absl::SimpleAtod(fields[11], &user) || !absl::SimpleAtod(fields[12], &system))
        return 0;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentBytes(pid_t pid)
{
    const std::vector<std::string> fields = absl::StrSplit(readText(absl::StrCat("/proc/", pid, "/statm")), ' ');
    double pages = 0;
    return fields.size() > 1 && absl::SimpleAtod(fields[1], &pages) ? pages * static_cast<double>(getpagesize()) : 0;
}

std::vector<Usage> readUsages(TestCluster &cluster)
{
    std::vector<Usage> usages;
    for (const auto &node : cluster.nodes()) {
        Usage usage;
        usage.controlBytes = cluster.metric(*node, "dandeliondock_control_bytes_total");
        usage.otherRegionBytes = cluster.metric(*node, "dandeliondock_other_region_bytes_total");
        usage.processorSeconds = processorSeconds(node->process->pid());
        usage.residentBytes = residentBytes(node->process->pid());
        usages.push_back(usage);
    }
    return usages;
}

double storeReads(TestCluster &cluster)
{
    const SendResult result = cluster.callPlatform({"GET", "/standin/counts", {}, {}});
    wire::StandinCounts counts;
    if (!result.response.ok() || !parseJson(result.response->body, ErrorKind::InvalidMessage, "counts", counts).ok())
        return 0;
    return static_cast<double>(counts.reads());
}

std::string ticketJson(std::uint32_t number)
{
    return absl::StrCat(R"({"number": )", number, R"(, "author": "bench", "resources": [
        {"version": {"service": "pricing", "name": "v1"}},
        {"service": {"name": "pricing", "version": "v1", "slots_per_target": 20, "connections_per_target": 130}},
        {"route": {"name": "pricing", "path_prefix": "/pricing", "service": "pricing", "timeout_ms": )",
                        1'000 + number, R"(, "work_class": "WORK_CLASS_INTERACTIVE", "idempotent": true}}]})");
}

double nowMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

// Returns the milliseconds from the start of the ticket command until the last node has applied the revision, or -1 on
// failure. This includes the start of the command's process, its request and the acceptance, because nodes may apply
// the revision before the command returns.
double measureConvergence(TestCluster &cluster, std::uint32_t number)
{
    const double filedAt = nowMs();
    if (cluster.fileTicket(*cluster.nodes().back(), ticketJson(number)) != 0)
        return -1;
    if (!eventually([&] { return cluster.allNodesAtRevision(number); }, waitTimeout))
        return -1;
    double lastAppliedAt = filedAt;
    for (const auto &node : cluster.nodes()) {
        const std::optional<wire::NodeStatus> status = cluster.status(*node);
        if (status)
            lastAppliedAt = std::max(lastAppliedAt, static_cast<double>(status->revision_applied_unix_ms()));
    }
    return lastAppliedAt - filedAt;
}

double percentile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1) + 0.5);
    return values[index];
}

void startNodes(TestCluster &cluster, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const std::string region = i % 2 == 0 ? "east-mids" : "west-mids";
        cluster.startNode({absl::StrCat("n", i), region, absl::StrCat(region, "-", i / 2 % 2), std::nullopt});
    }
}

bool areAllNodesReady(TestCluster &cluster, const std::string &mode)
{
    return std::all_of(cluster.nodes().begin(), cluster.nodes().end(), [&](const auto &node) {
        const std::optional<wire::NodeStatus> status = cluster.status(*node);
        return status && (mode == "polling" || status->path_size() > 0);
    });
}

void measureIdle(TestCluster &cluster, Row &row)
{
    const std::vector<Usage> before = readUsages(cluster);
    const double readsBefore = storeReads(cluster);
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_idle_ms));
    const std::vector<Usage> after = readUsages(cluster);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    row.storeReadsPerSecond = (storeReads(cluster) - readsBefore) / seconds;
    const double nodes = static_cast<double>(before.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        const double bytes = (after[i].controlBytes - before[i].controlBytes) / seconds;
        row.idleBytesPerSecond += bytes / nodes;
        row.maxIdleBytesPerSecond = std::max(row.maxIdleBytesPerSecond, bytes);
        row.otherRegionBytesPerSecond += (after[i].otherRegionBytes - before[i].otherRegionBytes) / seconds;
        row.idleCorePercent += 100 * (after[i].processorSeconds - before[i].processorSeconds) / seconds / nodes;
        row.residentMegabytes += after[i].residentBytes / nodes / 1e6;
    }
}

void measureTickets(TestCluster &cluster, Row &row, std::uint32_t &number)
{
    const std::vector<Usage> before = readUsages(cluster);
    const auto start = std::chrono::steady_clock::now();
    std::vector<double> times;
    for (std::uint32_t i = 0; i < FLAGS_tickets; ++i) {
        times.push_back(measureConvergence(cluster, ++number));
        std::this_thread::sleep_for(ticketPause);
    }
    const std::vector<Usage> after = readUsages(cluster);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    row.convergenceMedianMs = percentile(times, 0.5);
    row.convergenceP99Ms = percentile(times, 0.99);
    row.convergenceMaxMs = percentile(times, 1.0);
    double bytes = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
        bytes += after[i].controlBytes - before[i].controlBytes;
    const double nodes = static_cast<double>(before.size());
    row.bytesPerTicketPerNode = (bytes / nodes - row.idleBytesPerSecond * seconds) / FLAGS_tickets;
}

void measureMassRestart(TestCluster &cluster, Row &row, std::uint32_t &number)
{
    const double readsBefore = storeReads(cluster);
    for (std::size_t i = 0; i < cluster.nodes().size(); i += 2)
        cluster.nodes()[i]->process->signal(SIGKILL);
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < cluster.nodes().size(); i += 2)
        cluster.restartNode(*cluster.nodes()[i]);
    const auto secondsSince = [start] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    };
    const bool isRecovered = eventually(
            [&] { return areAllNodesReady(cluster, row.mode) && cluster.allNodesAtRevision(number); }, waitTimeout);
    row.restartSeconds = isRecovered ? secondsSince() : -1;
    row.restartStoreReads = storeReads(cluster) - readsBefore;
}

Row measure(const std::string &mode, std::size_t count)
{
    Row row;
    row.mode = mode;
    row.nodes = count;
    TestCluster cluster(absl::StrCat("bench-", mode, "-", count), "east-mids",
                        absl::StrCat(", \"log_level\": \"error\", \"distribution\": \"", mode, "\""));
    startNodes(cluster, count);
    if (!eventually([&] { return areAllNodesReady(cluster, mode); }, waitTimeout))
        std::printf("not every node was ready within %lld s\n", static_cast<long long>(waitTimeout.count()));
    std::uint32_t number = 0;
    (void)measureConvergence(cluster, ++number);
    std::this_thread::sleep_for(settleDuration);
    measureIdle(cluster, row);
    measureTickets(cluster, row, number);
    if (FLAGS_herd)
        measureMassRestart(cluster, row, number);
    return row;
}

constexpr const char *columns = "mode,nodes,convergence_median_ms,convergence_p99_ms,convergence_worst_ms,"
                                "bytes_per_ticket_per_node,idle_bytes_per_s_per_node,idle_bytes_per_s_worst_node,"
                                "other_region_bytes_per_s,idle_core_percent,resident_mb,store_reads_per_s,"
                                "herd_s,herd_store_reads";

std::string printRow(const Row &row)
{
    char text[512];
    std::snprintf(text, sizeof text, "%s,%zu,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.2f,%.1f,%.1f,%.1f,%.0f",
                  row.mode.c_str(), row.nodes, row.convergenceMedianMs, row.convergenceP99Ms, row.convergenceMaxMs,
                  row.bytesPerTicketPerNode, row.idleBytesPerSecond, row.maxIdleBytesPerSecond,
                  row.otherRegionBytesPerSecond, row.idleCorePercent, row.residentMegabytes, row.storeReadsPerSecond,
                  row.restartSeconds, row.restartStoreReads);
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ofstream csv;
    if (!FLAGS_csv.empty())
        csv.open(FLAGS_csv);
    std::printf("%s\n", columns);
    if (csv.is_open())
        csv << columns << "\n";
    for (const std::string &mode : std::vector<std::string>(absl::StrSplit(FLAGS_modes, ','))) {
        for (const std::string &size : std::vector<std::string>(absl::StrSplit(FLAGS_sizes, ','))) {
            std::size_t count = 0;
            if (!absl::SimpleAtoi(size, &count) || count == 0)
                continue;
            const std::string row = printRow(measure(mode, count));
            std::printf("%s\n", row.c_str());
            std::fflush(stdout);
            if (csv.is_open())
                csv << row << "\n";
        }
    }
    std::printf("repeat with: build/bench/bench-fleet --sizes=%s --modes=%s --tickets=%u\n", FLAGS_sizes.c_str(),
                FLAGS_modes.c_str(), FLAGS_tickets);
    return 0;
}
