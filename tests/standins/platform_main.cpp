#include "platform_server.h"

#include <dandeliondock/core/stop_signals.h>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 selects a free port");
DEFINE_uint64(seed, 1, "seed of the random numbers that select the calls to fail");
DEFINE_bool(outage, false, "refuse every call");
DEFINE_uint32(delay_ms, 0, "delay in ms added to every call");
DEFINE_uint32(lost_answers, 0, "writes per 10000 that take effect but whose response is dropped");
DEFINE_uint32(lost_requests, 0, "writes per 10000 that are dropped before they take effect");
DEFINE_uint32(refusals, 0, "calls per 10000 that are refused");
DEFINE_uint32(reads_per_second, 2000, "maximum number of reads per second; 0 for no limit");
DEFINE_uint32(writes_per_second, 400, "maximum number of writes per second; 0 for no limit");

namespace {

dandeliondock::standins::StoreFaults faultsFromFlags()
{
    using namespace dandeliondock;
    return {FLAGS_outage,          Milliseconds(FLAGS_delay_ms), Share(FLAGS_lost_answers), Share(FLAGS_lost_requests),
            Share(FLAGS_refusals), FLAGS_reads_per_second,       FLAGS_writes_per_second};
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const dandeliondock::StopSignals signals;
    const auto server = dandeliondock::standins::PlatformServer::start(FLAGS_address, FLAGS_port, FLAGS_seed);
    if (!server.ok()) {
        std::cerr << "standin-platform: " << server.status().message() << "\n";
        return 1;
    }
    (*server)->faults().set(faultsFromFlags());
    std::cout << "port=" << (*server)->port() << std::endl;
    signals.wait();
    return 0;
}
