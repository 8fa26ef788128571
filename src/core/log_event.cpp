#include <dandeliondock/core/log_event.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/escaping.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <memory>

namespace dandeliondock {

namespace {

bool needsQuotes(absl::string_view value)
{
    const auto isPlain = [](char c) { return c > ' ' && c < '\x7f' && c != '"' && c != '='; };
    return value.empty() || !std::all_of(value.begin(), value.end(), isPlain);
}

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::LogLevel levelFromName(absl::string_view name)
{
    if (name == "debug")
        return log4cplus::DEBUG_LOG_LEVEL;
    if (name == "warn")
        return log4cplus::WARN_LOG_LEVEL;
    if (name == "error")
        return log4cplus::ERROR_LOG_LEVEL;
    return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

LogEvent::LogEvent(LogLevel level, absl::string_view event) : m_level(level)
{
    field("event", event);
}

LogEvent &LogEvent::field(absl::string_view key, absl::string_view value)
{
    if (!m_line.empty())
        m_line.push_back(' ');
    if (needsQuotes(value))
        absl::StrAppend(&m_line, key, "=\"", absl::Utf8SafeCEscape(value), "\"");
    else
        absl::StrAppend(&m_line, key, "=", value);
    return *this;
}

LogEvent &LogEvent::error(const absl::Status &status)
{
    field("error_kind", errorKindName(errorKind(status)));
    return field("error", absl::string_view(status.message()));
}

void LogEvent::write(const LogSink &sink) const
{
    if (sink)
        sink(m_level, m_line);
}

LogSink consoleLog(absl::string_view levelName, LogStream stream)
{
    auto initializer = std::make_shared<log4cplus::Initializer>();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(stream == LogStream::Error, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(levelFromName(levelName));
    return [initializer, root](LogLevel level, const std::string &line) {
        const log4cplus::LogLevel mapped = toLog4cplus(level);
        if (root.isEnabledFor(mapped))
            root.log(mapped, line);
    };
}

} // namespace dandeliondock
