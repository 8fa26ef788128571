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

DEFINE_string(settings, "", "path of the JSON settings file; empty takes the variable DANDELIONDOCK_CONFIG");

namespace {

std::string settingsPath()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char *path = std::getenv("DANDELIONDOCK_CONFIG");
    return path == nullptr ? "" : path;
}

// Addresses and names of a proxy last as long as its process, so that a change is only told.
void rereadSettings(const dandeliondock::ProxySettings &inForce, const dandeliondock::LogSink &log)
{
    using namespace dandeliondock;
    LogEvent event(LogLevel::Info, "settings.reread");
    const absl::StatusOr<std::string> text = readFile(settingsPath());
    const absl::StatusOr<ProxySettings> settings = text.ok() ? parseProxySettings(*text) : text.status();
    if (!settings.ok())
        event.error(settings.status());
    else
        event.field("changed", !(*settings == inForce)).field("effect", "at the next start");
    event.write(log);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace dandeliondock;
    using namespace dandeliondock::programs;
    parseFlags(argc, argv, "runs beside a target on the platform: dandeliondock-proxy --settings FILE");
    const absl::StatusOr<std::string> text = readFile(settingsPath());
    const absl::StatusOr<ProxySettings> settings = text.ok() ? parseProxySettings(*text) : text.status();
    if (!settings.ok()) {
        std::cerr << "dandeliondock-proxy: " << settings.status().message() << "\n";
        return exitUsage;
    }
    LogDuty log(consoleLog(settings->logLevel, LogStream::Output));
    const LogSink sink = log.sink();
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop signals;
    signals.onSignals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
        if (signal == SIGHUP)
            rereadSettings(*settings, sink);
        else
            signals.stop();
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
    signals.run();
    (*proxy)->stop();
    LogEvent(LogLevel::Info, "proxy.stopped").field("node", settings->node).write(sink);
    log.finish();
    // Everything is written and closed. log4cplus would now wait for its own worker threads, which was seen not to end.
    std::quick_exit(exitSuccess);
}
