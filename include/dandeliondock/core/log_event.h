#pragma once

#include <dandeliondock/core/table_version.h>

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <functional>
#include <string>
#include <type_traits>

namespace dandeliondock {

enum class LogLevel { Debug, Info, Warn, Error };

/// \brief Hook that writes one complete line. Must be callable from any thread.
using LogSink = std::function<void(LogLevel, const std::string &)>;

/// \brief Builder of the log line of one event, in the key=value format.
///
/// \remark A builder must be used by one thread. Empty values and values that contain blanks, quotes, equals signs,
/// control characters or non-ASCII characters are quoted and escaped.
class LogEvent
{
public:
    /// \pre \c event is a dotted lower-case name, such as "ticket.accepted".
    LogEvent(LogLevel level, absl::string_view event);

    LogEvent &field(absl::string_view key, absl::string_view value);

    LogEvent &field(absl::string_view key, const char *value) { return field(key, absl::string_view(value)); }

    LogEvent &field(absl::string_view key, bool value) { return field(key, value ? "true" : "false"); }

    /// \brief Adds a field with the era and the version, such as 2.1047.
    LogEvent &field(absl::string_view key, const TableVersion &value)
    {
        return field(key, absl::string_view(absl::StrCat(value.era.value(), ".", value.version.value())));
    }

    template <typename Number>
    requires(std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>) LogEvent &field(absl::string_view key,
                                                                                            Number value)
    {
        return field(key, absl::string_view(absl::StrCat(value)));
    }

    template <typename Strong>
    requires requires { typename Strong::ValueType; }
    LogEvent &field(absl::string_view key, const Strong &value) { return field(key, value.value()); }

    /// \brief Adds the fields error_kind and error with the kind and the message of a status.
    LogEvent &error(const absl::Status &status);

    /// \brief Returns the line with the fields that were added so far.
    [[nodiscard]] const std::string &line() const noexcept { return m_line; }

    /// \brief Passes the line to \c sink; does nothing when \c sink is null.
    void write(const LogSink &sink) const;

private:
    LogLevel m_level;
    std::string m_line;
};

/// \brief Standard stream to which a process writes its log.
enum class LogStream { Error, Output };

/// \brief Returns a sink that writes to a standard stream through log4cplus. Must be called only once per process.
/// \pre \c levelName is debug, info, warn or error.
[[nodiscard]] LogSink consoleLog(absl::string_view levelName, LogStream stream = LogStream::Error);

} // namespace dandeliondock
