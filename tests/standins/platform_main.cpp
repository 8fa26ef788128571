#include "platform_server.h"

#include <dandeliondock/core/stop_signals.h>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 takes a free one");
DEFINE_uint64(seed, 1, "seed of the order in which shares of calls fail");
DEFINE_bool(outage, false, "refuse every call");
DEFINE_uint32(delay_ms, 0, "time that every call takes longer");
DEFINE_uint32(lost_answers, 0, "parts in 10000 of writes whose answer is lost after they took effect");
DEFINE_uint32(lost_requests, 0, "parts in 10000 of writes that are lost before they take effect");
DEFINE_uint32(refusals, 0, "parts in 10000 of calls that are refused");
DEFINE_uint32(reads_per_second, 2000, "limit of reads; 0 for none");
DEFINE_uint32(writes_per_second, 400, "limit of writes; 0 for none");

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
