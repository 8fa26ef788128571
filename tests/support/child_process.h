#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dandeliondock::testing {

/// \brief A program started by a test; killed and reaped when the object goes.
class ChildProcess
{
public:
    /// \brief Starts \c program of the build folder; its standard output can be read by lines.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();

    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&) = delete;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;

    /// \brief Waits for the end; the exit code, or minus the signal that ended it.
    [[nodiscard]] int wait();

    /// \brief The next line of standard output without its end; empty at the end of the output.
    [[nodiscard]] std::string readLine();

    /// \brief Everything on standard output up to its end.
    [[nodiscard]] std::string readAll();

    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_output = -1;
    bool m_reaped = false;
};

/// \brief A port on the loopback interface that was free a moment ago.
[[nodiscard]] std::uint16_t freePort();

/// \brief Writes a file into a folder of this test run; its path.
[[nodiscard]] std::string writeTemporary(const std::string &name, const std::string &content);

/// \brief Asks \c condition every few milliseconds until it holds or \c limit has passed.
template <typename Condition>
[[nodiscard]] bool eventually(Condition condition, std::chrono::milliseconds limit);

} // namespace dandeliondock::testing

#include "child_process_impl.h"
