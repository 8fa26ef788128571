#include "target_server.h"

#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/core/stop_signals.h>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 selects a free port");
DEFINE_string(version_name, "v1", "version named in the X-Version header of responses");
DEFINE_uint32(connections, 130, "maximum number of concurrent connections");
DEFINE_string(behaviour, "{}", "behaviour as a JSON wire.TargetBehaviour message; POST /standin/behaviour replaces it");

int main(int argc, char **argv)
{
    using namespace dandeliondock;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const StopSignals signals;
    wire::TargetBehaviour behaviour;
    const absl::Status parsed = parseJson(FLAGS_behaviour, ErrorKind::InvalidSettings, "--behaviour", behaviour);
    if (!parsed.ok()) {
        std::cerr << "standin-target: " << parsed.message() << "\n";
        return 2;
    }
    const auto server = standins::TargetServer::start({FLAGS_address, static_cast<std::uint16_t>(FLAGS_port),
                                                       FLAGS_version_name, ConnectionCount(FLAGS_connections)});
    if (!server.ok()) {
        std::cerr << "standin-target: " << server.status().message() << "\n";
        return 1;
    }
    (*server)->setBehaviour(behaviour);
    std::cout << "port=" << (*server)->port() << std::endl;
    signals.wait();
    return 0;
}
