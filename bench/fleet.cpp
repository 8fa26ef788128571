// Convergence time, control bytes and cost of a node against the number of node processes, for the tree and for the
// baseline in which every node polls the store. Repeat with: build/bench/bench-fleet
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
DEFINE_string(modes, "tree,polling", "distribution settings to measure");
DEFINE_uint32(tickets, 12, "tickets filed at each size");
DEFINE_uint32(idle_ms, 6'000, "length of the idle measurement");
DEFINE_bool(herd, true, "also kill half of the nodes at once and start them again");
DEFINE_string(csv, "", "path of a file for the rows as comma-separated values");

namespace {

using namespace dandeliondock;
using namespace dandeliondock::testing;

constexpr std::chrono::seconds patience{60};
constexpr std::chrono::milliseconds settleTime{4'000};
// Not a multiple of the interval at which the baseline polls.
constexpr std::chrono::milliseconds ticketPause{370};

/// \brief What one node has used so far.
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
    double convergenceWorstMs = 0;
    double bytesPerTicketPerNode = 0;
    double idleBytesPerSecond = 0;
    double idleBytesPerSecondWorst = 0;
    double otherRegionBytesPerSecond = 0;
    double idleCorePercent = 0;
    double residentMegabytes = 0;
    double storeReadsPerSecond = 0;
    double herdSeconds = 0;
    double herdStoreReads = 0;
};

std::string slurp(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Fields 14 and 15 of /proc/PID/stat are the user and system time in clock ticks.
double processorSeconds(pid_t pid)
{
    const std::string stat = slurp(absl::StrCat("/proc/", pid, "/stat"));
    const std::vector<std::string> fields = absl::StrSplit(stat.substr(stat.rfind(')') + 2), ' ');
    double user = 0;
    double system = 0;
    if (fields.size() < 13 || !absl::SimpleAtod(fields[11], &user) || !absl::SimpleAtod(fields[12], &system))
        return 0;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentBytes(pid_t pid)
{
    const std::vector<std::string> fields = absl::StrSplit(slurp(absl::StrCat("/proc/", pid, "/statm")), ' ');
    double pages = 0;
    return fields.size() > 1 && absl::SimpleAtod(fields[1], &pages) ? pages * static_cast<double>(getpagesize()) : 0;
}

std::vector<Usage> usageOf(TestCluster &fleet)
{
    std::vector<Usage> usages;
    for (const auto &node : fleet.nodes()) {
        Usage usage;
        usage.controlBytes = fleet.metric(*node, "dandeliondock_control_bytes_total");
        usage.otherRegionBytes = fleet.metric(*node, "dandeliondock_other_region_bytes_total");
        usage.processorSeconds = processorSeconds(node->process->pid());
        usage.residentBytes = residentBytes(node->process->pid());
        usages.push_back(usage);
    }
    return usages;
}

double storeReads(TestCluster &fleet)
{
    const SendResult result = fleet.callPlatform({"GET", "/standin/counts", {}, {}});
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

// The time from the start of the ticket command to the application by the last node. The command's process, its request
// and the acceptance are part of it, because nodes may hold the revision before the command returns.
double convergenceOf(TestCluster &fleet, std::uint32_t number)
{
    const double filed = nowMs();
    if (fleet.fileTicket(*fleet.nodes().back(), ticketJson(number)) != 0)
        return -1;
    if (!eventually([&] { return fleet.allNodesAtRevision(number); }, patience))
        return -1;
    double last = filed;
    for (const auto &node : fleet.nodes()) {
        const std::optional<wire::NodeStatus> status = fleet.status(*node);
        if (status)
            last = std::max(last, static_cast<double>(status->revision_applied_unix_ms()));
    }
    return last - filed;
}

double percentile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1) + 0.5);
    return values[index];
}

void startNodes(TestCluster &fleet, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const std::string region = i % 2 == 0 ? "east-mids" : "west-mids";
        fleet.startNode({absl::StrCat("n", i), region, absl::StrCat(region, "-", i / 2 % 2), std::nullopt});
    }
}

bool everyNodeReady(TestCluster &fleet, const std::string &mode)
{
    return std::all_of(fleet.nodes().begin(), fleet.nodes().end(), [&](const auto &node) {
        const std::optional<wire::NodeStatus> status = fleet.status(*node);
        return status && (mode == "polling" || status->path_size() > 0);
    });
}

void measureIdle(TestCluster &fleet, Row &row)
{
    const std::vector<Usage> before = usageOf(fleet);
    const double readsBefore = storeReads(fleet);
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_idle_ms));
    const std::vector<Usage> after = usageOf(fleet);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    row.storeReadsPerSecond = (storeReads(fleet) - readsBefore) / seconds;
    const double nodes = static_cast<double>(before.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        const double bytes = (after[i].controlBytes - before[i].controlBytes) / seconds;
        row.idleBytesPerSecond += bytes / nodes;
        row.idleBytesPerSecondWorst = std::max(row.idleBytesPerSecondWorst, bytes);
        row.otherRegionBytesPerSecond += (after[i].otherRegionBytes - before[i].otherRegionBytes) / seconds;
        row.idleCorePercent += 100 * (after[i].processorSeconds - before[i].processorSeconds) / seconds / nodes;
        row.residentMegabytes += after[i].residentBytes / nodes / 1e6;
    }
}

void measureTickets(TestCluster &fleet, Row &row, std::uint32_t &number)
{
    const std::vector<Usage> before = usageOf(fleet);
    const auto start = std::chrono::steady_clock::now();
    std::vector<double> times;
    for (std::uint32_t i = 0; i < FLAGS_tickets; ++i) {
        times.push_back(convergenceOf(fleet, ++number));
        std::this_thread::sleep_for(ticketPause);
    }
    const std::vector<Usage> after = usageOf(fleet);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    row.convergenceMedianMs = percentile(times, 0.5);
    row.convergenceP99Ms = percentile(times, 0.99);
    row.convergenceWorstMs = percentile(times, 1.0);
    double bytes = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
        bytes += after[i].controlBytes - before[i].controlBytes;
    const double nodes = static_cast<double>(before.size());
    row.bytesPerTicketPerNode = (bytes / nodes - row.idleBytesPerSecond * seconds) / FLAGS_tickets;
}

void measureHerd(TestCluster &fleet, Row &row, std::uint32_t &number)
{
    const double readsBefore = storeReads(fleet);
    for (std::size_t i = 0; i < fleet.nodes().size(); i += 2)
        fleet.nodes()[i]->process->signal(SIGKILL);
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < fleet.nodes().size(); i += 2)
        fleet.restartNode(*fleet.nodes()[i]);
    const auto secondsSince = [start] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    };
    const bool back =
            eventually([&] { return everyNodeReady(fleet, row.mode) && fleet.allNodesAtRevision(number); }, patience);
    row.herdSeconds = back ? secondsSince() : -1;
    row.herdStoreReads = storeReads(fleet) - readsBefore;
}

Row measure(const std::string &mode, std::size_t count)
{
    Row row;
    row.mode = mode;
    row.nodes = count;
    TestCluster fleet(absl::StrCat("bench-", mode, "-", count), "east-mids",
                      absl::StrCat(", \"log_level\": \"error\", \"distribution\": \"", mode, "\""));
    startNodes(fleet, count);
    if (!eventually([&] { return everyNodeReady(fleet, mode); }, patience))
        std::printf("not every node was ready within %lld s\n", static_cast<long long>(patience.count()));
    std::uint32_t number = 0;
    (void)convergenceOf(fleet, ++number);
    std::this_thread::sleep_for(settleTime);
    measureIdle(fleet, row);
    measureTickets(fleet, row, number);
    if (FLAGS_herd)
        measureHerd(fleet, row, number);
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
                  row.mode.c_str(), row.nodes, row.convergenceMedianMs, row.convergenceP99Ms, row.convergenceWorstMs,
                  row.bytesPerTicketPerNode, row.idleBytesPerSecond, row.idleBytesPerSecondWorst,
                  row.otherRegionBytesPerSecond, row.idleCorePercent, row.residentMegabytes, row.storeReadsPerSecond,
                  row.herdSeconds, row.herdStoreReads);
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
