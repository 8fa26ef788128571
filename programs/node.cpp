#include "command_line.h"

#include <dandeliondock/core/stop_signals.h>
#include <dandeliondock/node/node.h>

#include <gflags/gflags.h>

#include <iostream>
#include <malloc.h>

DEFINE_string(settings, "", "path of the JSON settings file");

namespace {

// Larger blocks have mappings of their own, which are returned to the system when a body is freed.
constexpr int ownMappingThreshold = 262'144;
// The C library would otherwise keep freed memory in up to eight heaps for each processor.
constexpr int maxHeaps = 2;

} // namespace

int main(int argc, char **argv)
{
    using namespace dandeliondock;
    using namespace dandeliondock::programs;
    parseFlags(argc, argv, "runs a node next to its target: dandeliondock-node --settings FILE");
    const absl::StatusOr<std::string> text = readFile(FLAGS_settings);
    const absl::StatusOr<NodeSettings> settings = text.ok() ? parseNodeSettings(*text) : text.status();
    if (!settings.ok()) {
        std::cerr << "dandeliondock-node: " << settings.status().message() << "\n";
        return exitUsage;
    }
    mallopt(M_MMAP_THRESHOLD, ownMappingThreshold);
    mallopt(M_ARENA_MAX, maxHeaps);
    const StopSignals signals;
    const absl::StatusOr<std::shared_ptr<Node>> node = Node::start(*settings, consoleLog(settings->logLevel));
    if (!node.ok()) {
        std::cerr << "dandeliondock-node: " << node.status().message() << "\n";
        return exitFailed;
    }
    signals.wait();
    (*node)->stop();
    return exitSuccess;
}
