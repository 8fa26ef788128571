#include "command_line.h"

#include <dandeliondock/core/log_duty.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/proxy/proxy.h>
#include <dandeliondock/settings/node_settings.h>

#include <platform/adapter.h>

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

DEFINE_string(settings, "",
              "path of the JSON settings file; if empty, the variable DANDELIONDOCK_CONFIG holds the path");

namespace {

// Bodies from this size on have a mapping of their own, which is returned to the system when the body is freed. Without
// a fixed threshold, the C library raises it up to 32 MiB, and freed bodies stay in its heaps as fragments.
constexpr int ownMappingThreshold = 262'144;

std::string settingsPath()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char *path = std::getenv("DANDELIONDOCK_CONFIG");
    return path == nullptr ? "" : path;
}

// Only logs whether the file differs from the current settings: the addresses and names of a proxy cannot change while
// its process runs.
void rereadSettings(const dandeliondock::ProxySettings &current, const dandeliondock::LogSink &log)
{
    using namespace dandeliondock;
    LogEvent event(LogLevel::Info, "settings.reread");
    const absl::StatusOr<std::string> text = readFile(settingsPath());
    const absl::StatusOr<ProxySettings> settings = text.ok() ? parseProxySettings(*text) : text.status();
    if (!settings.ok())
        event.error(settings.status());
    else
        event.field("changed", !(*settings == current)).field("effect", "at the next start");
    event.write(log);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace dandeliondock;
    using namespace dandeliondock::programs;
    parseFlags(argc, argv, "runs the proxy next to a target on the platform: dandeliondock-proxy --settings FILE");
    const absl::StatusOr<std::string> text = readFile(settingsPath());
    const absl::StatusOr<ProxySettings> settings = text.ok() ? parseProxySettings(*text) : text.status();
    if (!settings.ok()) {
        std::cerr << "dandeliondock-proxy: " << settings.status().message() << "\n";
        return exitUsage;
    }
    mallopt(M_MMAP_THRESHOLD, ownMappingThreshold);
    LogDuty log(consoleLog(settings->logLevel, LogStream::Output));
    const LogSink sink = log.sink();
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop signalLoop;
    signalLoop.onSignals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
        if (signal == SIGHUP)
            rereadSettings(*settings, sink);
        else
            signalLoop.stop();
    });
    LogEvent(LogLevel::Info, "proxy.started")
            .field("node", settings->node)
            .field("service", settings->service)
            .field("version", DANDELIONDOCK_VERSION)
            .write(sink);
    const auto proxy = Proxy::start(*settings, platform::adapter(), sink);
    if (!proxy.ok()) {
        std::cerr << "dandeliondock-proxy: " << proxy.status().message() << "\n";
        return exitFailed;
    }
    signalLoop.run();
    (*proxy)->stop();
    LogEvent(LogLevel::Info, "proxy.stopped").field("node", settings->node).write(sink);
    log.stop();
    // All output is written and all connections are closed. A normal exit would make log4cplus wait for its worker
    // threads, which sometimes do not end.
    std::quick_exit(exitSuccess);
}
