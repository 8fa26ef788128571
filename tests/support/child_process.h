#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dandeliondock::testing {

/// \brief Process of a program started by a test. The destructor kills and reaps it.
class ChildProcess
{
public:
    /// \brief Starts \c program from the build folder and captures its standard output.
    ///
    /// \remark Throws std::runtime_error if the program can't be started.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();

    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&) = delete;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// \brief Sends a signal to the process; does nothing once it was reaped.
    void signal(int number) const;

    /// \brief Waits until the process ends.
    ///
    /// \return The exit code, or the negated number of the signal that ended the process.
    [[nodiscard]] int wait();

    /// \brief Reads the next line of standard output and returns it without the line break; empty at the end of output.
    [[nodiscard]] std::string readLine();

    /// \brief Reads standard output until its end and returns it.
    [[nodiscard]] std::string readAll();

    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_outputFd = -1;
    bool m_isReaped = false;
};

/// \brief Returns a port of the loopback interface that was free when it was checked; it isn't reserved.
///
/// \remark Throws std::runtime_error if there is none. Thread-safe.
[[nodiscard]] std::uint16_t freePort();

/// \brief Writes a file to the temporary folder of this test process and returns its path. The folder is removed at
/// exit.
[[nodiscard]] std::string writeTemporary(const std::string &name, const std::string &content);

/// \brief Evaluates \c condition every 20 ms until it is true or \c limit has passed.
///
/// \return Whether the condition became true.
template <typename Condition>
[[nodiscard]] bool eventually(Condition condition, std::chrono::milliseconds limit);

} // namespace dandeliondock::testing

#include "child_process_impl.h"
