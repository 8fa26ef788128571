#include "child_process.h"

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace dandeliondock::testing {

namespace {

std::string programPath(const std::string &program)
{
    const char *folder = std::getenv("DANDELIONDOCK_BIN");
    const std::filesystem::path base = folder == nullptr ? "build" : folder;
    const std::filesystem::path direct = base / program;
    return std::filesystem::exists(direct) ? direct.string() : (base / "tests" / program).string();
}

// A folder of this process, removed at its end.
class TemporaryFolder
{
public:
    TemporaryFolder()
        : m_path(std::filesystem::temp_directory_path() / ("dandeliondock-test-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_path);
    }

    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] const std::filesystem::path &path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

bool canListen(std::uint16_t port)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    struct sockaddr_in wanted = {};
    wanted.sin_family = AF_INET;
    wanted.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    wanted.sin_port = htons(port);
    const bool bound = bind(probe, reinterpret_cast<struct sockaddr *>(&wanted), sizeof wanted) == 0;
    const bool listening = bound && listen(probe, 1) == 0;
    close(probe);
    return listening;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
{
    int ends[2] = {};
    if (pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot open a pipe");
    std::string path = programPath(program);
    std::vector<std::string> copies = arguments;
    std::vector<char *> argv = {path.data()};
    for (std::string &copy : copies)
        argv.push_back(copy.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    const int error = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    m_output = ends[0];
    if (error != 0)
        throw std::runtime_error("cannot start " + path);
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(other.m_pid), m_output(other.m_output), m_reaped(other.m_reaped)
{
    other.m_pid = -1;
    other.m_output = -1;
    other.m_reaped = true;
}

ChildProcess::~ChildProcess()
{
    if (!m_reaped) {
        signal(SIGKILL);
        (void)wait();
    }
    if (m_output >= 0)
        close(m_output);
}

void ChildProcess::signal(int number) const
{
    if (!m_reaped && m_pid > 0)
        kill(m_pid, number);
}

int ChildProcess::wait()
{
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_reaped = true;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string ChildProcess::readLine()
{
    std::string line;
    char c = 0;
    while (read(m_output, &c, 1) == 1 && c != '\n')
        line.push_back(c);
    return line;
}

std::string ChildProcess::readAll()
{
    std::string text;
    char buffer[4096];
    for (ssize_t size = read(m_output, buffer, sizeof buffer); size > 0; size = read(m_output, buffer, sizeof buffer))
        text.append(buffer, static_cast<std::size_t>(size));
    return text;
}

std::uint16_t freePort()
{
    // Below the system's range for outgoing connections, which take ports between the probe and their use.
    constexpr int firstPort = 10'000;
    constexpr int portCount = 20'000;
    constexpr int portsForProcess = 611;
    static std::atomic<int> next{getpid() * portsForProcess};
    for (int tries = 0; tries < portCount; ++tries) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        if (canListen(port))
            return port;
    }
    throw std::runtime_error("no free port");
}

std::string writeTemporary(const std::string &name, const std::string &content)
{
    static const TemporaryFolder folder;
    const std::filesystem::path path = folder.path() / name;
    std::ofstream(path, std::ios::binary) << content;
    return path.string();
}

} // namespace dandeliondock::testing
