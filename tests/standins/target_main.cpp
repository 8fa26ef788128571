#include <dandeliondock/http/server.h>

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 takes a free one");
DEFINE_string(version_name, "v1", "version that the answers name");

int main(int argc, char **argv)
{
    using namespace dandeliondock;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const auto server = HttpServerBuilder()
                                .listen(FLAGS_address, FLAGS_port)
                                .handler([](const HttpRequest &request) {
                                    HttpResponse response;
                                    response.headers.add("X-Version", FLAGS_version_name);
                                    response.body = request.method + " " + request.target + " " + request.body;
                                    return response;
                                })
                                .start();
    if (!server.ok()) {
        std::cerr << "standin-target: " << server.status().message() << "\n";
        return 1;
    }
    std::cout << "port=" << (*server)->port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
