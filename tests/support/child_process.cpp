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
    const std::filesystem::path buildFolder = folder == nullptr ? "build" : folder;
    const std::filesystem::path topLevelPath = buildFolder / program;
    return std::filesystem::exists(topLevelPath) ? topLevelPath.string() : (buildFolder / "tests" / program).string();
}

// Temporary folder named after this process, removed when the process exits.
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
    const int socketFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(socketFd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool bound = bind(socketFd, reinterpret_cast<struct sockaddr *>(&address), sizeof address) == 0;
    const bool listening = bound && listen(socketFd, 1) == 0;
    close(socketFd);
    return listening;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
{
    int pipeEnds[2] = {};
    if (pipe2(pipeEnds, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot open a pipe");
    std::string path = programPath(program);
    std::vector<std::string> argumentCopies = arguments;
    std::vector<char *> argv = {path.data()};
    for (std::string &argument : argumentCopies)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    const int error = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    m_outputFd = pipeEnds[0];
    if (error != 0)
        throw std::runtime_error("cannot start " + path);
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(other.m_pid), m_outputFd(other.m_outputFd), m_isReaped(other.m_isReaped)
{
    other.m_pid = -1;
    other.m_outputFd = -1;
    other.m_isReaped = true;
}

ChildProcess::~ChildProcess()
{
    if (!m_isReaped) {
        signal(SIGKILL);
        (void)wait();
    }
    if (m_outputFd >= 0)
        close(m_outputFd);
}

void ChildProcess::signal(int number) const
{
    if (!m_isReaped && m_pid > 0)
        kill(m_pid, number);
}

int ChildProcess::wait()
{
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_isReaped = true;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string ChildProcess::readLine()
{
    std::string line;
    char c = 0;
    while (read(m_outputFd, &c, 1) == 1 && c != '\n')
        line.push_back(c);
    return line;
}

std::string ChildProcess::readAll()
{
    std::string text;
    char buffer[4096];
    for (ssize_t byteCount = read(m_outputFd, buffer, sizeof buffer); byteCount > 0;
         byteCount = read(m_outputFd, buffer, sizeof buffer))
        text.append(buffer, static_cast<std::size_t>(byteCount));
    return text;
}

std::uint16_t freePort()
{
    // Ports below the system's ephemeral range: an outgoing connection could otherwise take the port between this check
    // and its use.
    constexpr int firstPort = 10'000;
    constexpr int portCount = 20'000;
    constexpr int portsPerProcess = 611;
    static std::atomic<int> nextOffset{getpid() * portsPerProcess};
    for (int attempt = 0; attempt < portCount; ++attempt) {
        const auto port = static_cast<std::uint16_t>(firstPort + nextOffset++ % portCount);
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
