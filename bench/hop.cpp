// Measures the latency that Ingress adds to a call, compared with calls sent directly to the target in the same run,
// and the calls per second and core of the ingress process. Target, ingress and clients run in separate processes.
#include "standins/target_server.h"
#include "support/fixed_routing.h"

#include <dandeliondock/node/ingress.h>

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <functional>
#include <mutex>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

DEFINE_uint32(calls, 2'000, "paced calls of each client, both directly and through Ingress");
DEFINE_uint32(pace_us, 2'000, "time between two calls of a paced client in microseconds");
DEFINE_uint32(seconds, 5, "duration of the unpaced run in seconds");

namespace dandeliondock {
namespace {

struct Child
{
    pid_t pid = -1;
    std::uint16_t port = 0;
};

void waitForSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    int number = 0;
    sigwait(&signals, &number);
}

/// \brief Runs \c serve in a child process and returns when the child has reported its port.
///
/// \c serve passes its port to its argument, which returns at SIGTERM.
Child startChild(const std::function<void(const std::function<void(std::uint16_t)> &)> &serve)
{
    int pipeEnds[2] = {-1, -1};
    if (pipe(pipeEnds) != 0)
        std::abort();
    const pid_t pid = fork();
    if (pid == 0) {
        serve([&](std::uint16_t port) {
            if (write(pipeEnds[1], &port, sizeof port) != sizeof port)
                std::abort();
            waitForSignal();
        });
        _exit(0);
    }
    Child child{pid, 0};
    if (read(pipeEnds[0], &child.port, sizeof child.port) != sizeof child.port)
        std::abort();
    return child;
}

double stopChild(const Child &child)
{
    kill(child.pid, SIGTERM);
    struct rusage usage = {};
    int status = 0;
    wait4(child.pid, &status, 0, &usage);
    const auto seconds = [](const struct timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

Child startTarget()
{
    return startChild([](const auto &reportPort) {
        const auto target = standins::TargetServer::start({});
        reportPort((*target)->port());
    });
}

Child startIngress(std::uint16_t target)
{
    return startChild([target](const auto &reportPort) {
        const std::vector<Address> targets{Address(absl::StrCat("127.0.0.1:", target))};
        const auto routing = std::make_shared<testing::FixedRouting>(targets, Milliseconds(5'000));
        const auto outcomes = std::make_shared<BoundedRing<AttemptReport>>(1'024, OverflowPolicy::DropOldest);
        const auto ingress =
                IngressBuilder().listen("127.0.0.1", 0).routing(routing->hooks()).attemptReports(outcomes).start();
        reportPort((*ingress)->port());
        static_cast<void>((*ingress)->drain(Milliseconds(5'000)));
    });
}

double callOnce(HttpClient &client, const Address &address)
{
    const auto begin = std::chrono::steady_clock::now();
    const SendResult result = client.send(address, {"POST", "/orders", {}, "finisher"}, {});
    if (!result.response.ok() || result.response->status != 200)
        std::abort();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
}

struct Latencies
{
    std::vector<double> direct;
    std::vector<double> viaIngress;
};

double quantile(std::vector<double> &values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void callPaced(const Address &target, const Address &ingress, std::mutex &mutex, Latencies &total)
{
    HttpClient client;
    Latencies measured;
    for (std::uint32_t i = 0; i < FLAGS_calls; ++i) {
        measured.direct.push_back(callOnce(client, target));
        std::this_thread::sleep_for(Microseconds(FLAGS_pace_us));
        measured.viaIngress.push_back(callOnce(client, ingress));
        std::this_thread::sleep_for(Microseconds(FLAGS_pace_us));
    }
    const std::scoped_lock lock(mutex);
    total.direct.insert(total.direct.end(), measured.direct.begin(), measured.direct.end());
    total.viaIngress.insert(total.viaIngress.end(), measured.viaIngress.begin(), measured.viaIngress.end());
}

void measurePaced(int clients, const Address &target, const Address &ingress)
{
    std::mutex mutex;
    Latencies total;
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i)
        threads.emplace_back([&] { callPaced(target, ingress, mutex, total); });
    for (std::thread &thread : threads)
        thread.join();
    const double directMedian = quantile(total.direct, 0.5);
    const double directP99 = quantile(total.direct, 0.99);
    const double ingressMedian = quantile(total.viaIngress, 0.5);
    const double ingressP99 = quantile(total.viaIngress, 0.99);
    std::printf("clients=%d straight_p50_ms=%.3f straight_p99_ms=%.3f through_p50_ms=%.3f through_p99_ms=%.3f "
                "added_p50_ms=%.3f added_p99_ms=%.3f\n",
                clients, directMedian, directP99, ingressMedian, ingressP99, ingressMedian - directMedian,
                ingressP99 - directP99);
}

std::uint64_t callUnpaced(int clients, const Address &ingress)
{
    std::atomic<std::uint64_t> calls{0};
    const auto end = std::chrono::steady_clock::now() + Seconds(FLAGS_seconds);
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&] {
            HttpClient client;
            while (std::chrono::steady_clock::now() < end) {
                callOnce(client, ingress);
                ++calls;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return calls;
}

int run()
{
    constexpr int manyClients = 8;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const Child target = startTarget();
    const Child ingress = startIngress(target.port);
    const Child unpacedIngress = startIngress(target.port);
    const Address targetAddress(absl::StrCat("127.0.0.1:", target.port));
    const Address ingressAddress(absl::StrCat("127.0.0.1:", ingress.port));
    measurePaced(1, targetAddress, ingressAddress);
    measurePaced(manyClients, targetAddress, ingressAddress);
    const std::uint64_t calls = callUnpaced(manyClients, Address(absl::StrCat("127.0.0.1:", unpacedIngress.port)));
    const double cpuSeconds = stopChild(unpacedIngress);
    std::printf("clients=%d unpaced_calls_per_s=%.0f ingress_cpu_us_per_call=%.1f calls_per_s_per_core=%.0f\n",
                manyClients, static_cast<double>(calls) / FLAGS_seconds, cpuSeconds * 1e6 / static_cast<double>(calls),
                static_cast<double>(calls) / cpuSeconds);
    stopChild(ingress);
    stopChild(target);
    return 0;
}

} // namespace
} // namespace dandeliondock

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return dandeliondock::run();
}
