// Replays how a fleet catches up with the configuration and prints, for each size of fleet and configuration, the time
// until all proxies hold the latest change and the bytes between the regions: in calm, after the store was away, and
// after all proxies were restarted.
//
//     build/bench/bench-catch-up --proxies=80,300 --routes=100,600,1400,2000 --seeds=5

#include "support/relay_replay.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

DEFINE_string(proxies, "80,300", "sizes of the fleet");
DEFINE_string(routes, "100,600,1400,2000", "numbers of routes");
DEFINE_int32(seeds, 5, "replays of each case");

namespace dandeliondock::testing {
namespace {

// Bytes of a route in the store's response and in a compressed copy, from days with 1,400 routes on the users' bench.
constexpr std::uint64_t platformBytesPerRoute = 430;
constexpr std::uint64_t relayedBytesPerRoute = 25;
constexpr double bytesPerMegabyte = 1e6;

struct ReplayedCase
{
    const char *name;
    ReplayEvents events;
};

std::vector<ReplayedCase> replayedCases()
{
    ReplayEvents calm;
    calm.writes = {Milliseconds(2'000), Milliseconds(9'000)};
    ReplayEvents away = calm;
    away.platformAway = {{Milliseconds(3'000), Milliseconds(7'000)}};
    ReplayEvents restarted = calm;
    restarted.proxiesAway = {{Milliseconds(5'000), Milliseconds(7'000)}};
    restarted.restartedShare = 1;
    ReplayEvents series = calm;
    series.writes.clear();
    for (int write = 0; write < 50; ++write)
        series.writes.emplace_back(3'000 + 100 * write);
    return {{"calm", calm}, {"store away 4 s", away}, {"all restarted", restarted}, {"10 changes a second", series}};
}

std::vector<std::uint64_t> numbersOf(const std::string &text)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &part : absl::StrSplit(text, ',')) {
        std::uint64_t number = 0;
        if (!absl::SimpleAtoi(part, &number) || number == 0) {
            std::fprintf(stderr, "not a list of positive whole numbers: %s\n", text.c_str());
            std::exit(2);
        }
        numbers.push_back(number);
    }
    return numbers;
}

void replay(std::uint64_t proxies, std::uint64_t routes, const ReplayedCase &replayedCase)
{
    ReplayDeployment deployment;
    deployment.proxiesPerRegion = proxies / 2;
    deployment.platformRow = ByteCount(routes * platformBytesPerRoute);
    deployment.relayedRow = ByteCount(routes * relayedBytesPerRoute);
    std::optional<Milliseconds> latest = Milliseconds(0);
    std::uint64_t platformBytes = 0;
    std::uint64_t relayedBytes = 0;
    std::size_t mostReads = 0;
    for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
        const ReplayResult result = RelayReplay(deployment, replayedCase.events, std::uint64_t(seed)).run();
        const auto &time = result.timeToAll.back();
        latest = time && latest ? std::optional(std::max(*latest, *time)) : std::nullopt;
        platformBytes = std::max(platformBytes, result.platformBytes.value());
        relayedBytes = std::max(relayedBytes, result.relayedBytes.value());
        mostReads = std::max(mostReads, result.mostPlatformReads);
    }
    const std::string time = latest ? std::to_string(latest->count()) : "never";
    std::printf("%8llu %7llu  %-20s %10s %12.2f %12.2f %8zu\n", static_cast<unsigned long long>(proxies),
                static_cast<unsigned long long>(routes), replayedCase.name, time.c_str(),
                static_cast<double>(platformBytes) / bytesPerMegabyte,
                static_cast<double>(relayedBytes) / bytesPerMegabyte, mostReads);
}

} // namespace
} // namespace dandeliondock::testing

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("replays how a fleet catches up with the configuration");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%8s %7s  %-20s %10s %12s %12s %8s\n", "proxies", "routes", "case", "ms to all", "MB of store",
                "MB of peers", "reads");
    for (const std::uint64_t proxies : dandeliondock::testing::numbersOf(FLAGS_proxies)) {
        for (const std::uint64_t routes : dandeliondock::testing::numbersOf(FLAGS_routes)) {
            for (const auto &replayedCase : dandeliondock::testing::replayedCases())
                dandeliondock::testing::replay(proxies, routes, replayedCase);
        }
    }
    return 0;
}
