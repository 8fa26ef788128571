#include "command_line.h"

#include <dandeliondock/node/node.h>

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");

namespace {

int waitForStopSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
    return signal;
}

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace dandeliondock;
    using namespace dandeliondock::programs;
    parseFlags(argc, argv, "runs beside a target: dandeliondock-node --settings FILE");
    const absl::StatusOr<std::string> text = readFile(FLAGS_settings);
    const absl::StatusOr<NodeSettings> settings = text.ok() ? parseNodeSettings(*text) : text.status();
    if (!settings.ok()) {
        std::cerr << "dandeliondock-node: " << settings.status().message() << "\n";
        return exitUsage;
    }
    // Every thread started later inherits the mask, so that only this thread takes the signals.
    const sigset_t signals = blockStopSignals();
    std::signal(SIGPIPE, SIG_IGN);
    const absl::StatusOr<std::shared_ptr<Node>> node = Node::start(*settings, consoleLog(settings->logLevel));
    if (!node.ok()) {
        std::cerr << "dandeliondock-node: " << node.status().message() << "\n";
        return exitFailed;
    }
    waitForStopSignal(signals);
    (*node)->stop();
    return exitDone;
}
