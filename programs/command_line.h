#pragma once

#include <gflags/gflags.h>

#include <cstdlib>
#include <string>

namespace dandeliondock::programs {

inline constexpr int exitSuccess = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;
inline constexpr int exitOutcomeUnknown = 3;
inline constexpr int exitTimedOut = 4;
inline constexpr int exitRolledBack = 5;

inline bool isParsingFlags = false;

/// \brief Parses the command line. Ends the process with exitUsage if the command line is invalid.
///
/// gflags itself would exit with code 1, which these programs use when a request was refused. Call once, before any
/// other thread starts.
inline void parseFlags(int &argc, char **&argv, const std::string &usage)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(DANDELIONDOCK_VERSION);
    std::atexit([] {
        if (isParsingFlags)
            std::_Exit(exitUsage);
    });
    isParsingFlags = true;
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    isParsingFlags = false;
    gflags::HandleCommandLineHelpFlags();
}

} // namespace dandeliondock::programs
