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

inline bool parsingFlags = false;

/// \brief Parses the command line; a bad one ends the process with exitUsage.
///
/// gflags ends the process itself with exit code 1, which here means that a request was refused. Call once, before any
/// other thread starts.
inline void parseFlags(int &argc, char **&argv, const std::string &usage)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(DANDELIONDOCK_VERSION);
    std::atexit([] {
        if (parsingFlags)
            std::_Exit(exitUsage);
    });
    parsingFlags = true;
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    parsingFlags = false;
    gflags::HandleCommandLineHelpFlags();
}

} // namespace dandeliondock::programs
