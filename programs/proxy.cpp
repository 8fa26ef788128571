#include "command_line.h"

#include <dandeliondock/core/log_duty.h>
#include <dandeliondock/core/stop_signals.h>
#include <dandeliondock/proxy/proxy.h>
#include <dandeliondock/settings/node_settings.h>

#include <platform/adapter.h>

#include <gflags/gflags.h>

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
    StopSignals signals;
    LogDuty log(consoleLog(settings->logLevel, LogStream::Output));
    const LogSink sink = log.sink();
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
    signals.wait();
    (*proxy)->stop();
    LogEvent(LogLevel::Info, "proxy.stopped").field("node", settings->node).write(sink);
    return exitDone;
}
