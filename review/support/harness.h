// Support for the cases of this review: an HTTP/1.1 client and server on blocking sockets, stand-ins for the platform's
// store and for back ends, and processes of the proxy. Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

/// The processes that run now; ended also when the case cannot go on.
inline std::set<pid_t> &runningProcesses()
{
    static std::set<pid_t> processes;
    return processes;
}

inline std::mutex &processMutex()
{
    static std::mutex mutex;
    return mutex;
}

[[noreturn]] inline void notRun(const std::string &why)
{
    std::cerr << "the case could not run: " << why << std::endl;
    const std::scoped_lock lock(processMutex());
    for (const pid_t pid : runningProcesses()) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
    }
    std::_Exit(exitNotRun);
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

inline bool isTroubleOn()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Writes record.txt, one line for each event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path) : m_out(path, std::ios::trunc)
    {
        if (!m_out)
            notRun("cannot write " + path);
        endOnSignal();
    }

    void line(const std::string &text)
    {
        const std::scoped_lock lock(m_mutex);
        m_out << ms() << " " << text << std::endl;
    }

    [[nodiscard]] long ms() const
    {
        return static_cast<long>(std::chrono::duration_cast<Ms>(Clock::now() - m_start).count());
    }

private:
    /// Ends the processes that were started when the case itself is stopped.
    static void endOnSignal()
    {
        static sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::thread([] {
            int number = 0;
            sigwait(&signals, &number);
            notRun("stopped by a signal");
        }).detach();
    }

    std::mutex m_mutex;
    std::ofstream m_out;
    const Clock::time_point m_start = Clock::now();
};

// ---- HTTP ----------------------------------------------------------------------------------------------------------

struct Message
{
    std::string first; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }

    [[nodiscard]] bool has(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return true;
        }
        return false;
    }

    [[nodiscard]] std::string method() const { return first.substr(0, first.find(' ')); }

    [[nodiscard]] std::string target() const
    {
        const auto begin = first.find(' ');
        const auto end = first.find(' ', begin + 1);
        return begin == std::string::npos ? "" : first.substr(begin + 1, end - begin - 1);
    }

    [[nodiscard]] int status() const
    {
        const auto begin = first.find(' ');
        return begin == std::string::npos ? 0 : std::atoi(first.c_str() + begin + 1);
    }
};

inline std::string encode(const Message &message, bool addLength = true)
{
    std::string text = message.first + "\r\n";
    for (const auto &[name, value] : message.headers)
        text += name + ": " + value + "\r\n";
    if (addLength && !message.has("Content-Length"))
        text += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    return text + "\r\n" + message.body;
}

/// A connected socket with a read buffer.
class Connection
{
public:
    explicit Connection(int fd = -1) : m_fd(fd)
    {
        const int on = 1;
        if (m_fd >= 0)
            setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] bool isOpen() const { return m_fd >= 0; }
    [[nodiscard]] int fd() const { return m_fd; }

    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }

    /// Closes with a reset.
    void reset()
    {
        const linger hard{1, 0};
        if (m_fd >= 0)
            setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }

    bool write(const std::string &text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads one message; empty when the connection ends or the time is over before it is complete.
    std::optional<Message> read(int timeoutMs)
    {
        const auto end = Clock::now() + Ms(timeoutMs);
        std::size_t headEnd = std::string::npos;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(end))
                return std::nullopt;
        }
        Message message;
        std::istringstream head(m_buffer.substr(0, headEnd));
        std::string line;
        std::getline(head, line);
        message.first = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
        m_buffer.erase(0, headEnd + 4);
        const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!fill(end))
                return std::nullopt;
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return message;
    }

    /// Whether the peer has closed the connection.
    [[nodiscard]] bool isClosedByPeer() const
    {
        char byte = 0;
        return ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

private:
    bool fill(Clock::time_point end)
    {
        const auto left = std::chrono::duration_cast<Ms>(end - Clock::now()).count();
        if (left <= 0 || m_fd < 0)
            return false;
        pollfd entry{m_fd, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65536];
        const ssize_t count = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    std::string m_buffer;
};

inline sockaddr_in socketAddress(const std::string &address)
{
    const auto colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

inline std::shared_ptr<Connection> connectTo(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = socketAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        ::close(fd);
        return std::make_shared<Connection>(-1);
    }
    return std::make_shared<Connection>(fd);
}

/// Opens a listening socket at a free port of an IP number; port 0 takes a free one.
inline int listenAt(const std::string &ip, int port, std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = socketAddress(ip + ":" + std::to_string(port));
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0)
        notRun("cannot listen on " + ip);
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr *>(&at), &size);
    address = ip + ":" + std::to_string(ntohs(at.sin_port));
    return fd;
}

/// Returns an address with a port that is free now, below the ports that the system gives to outgoing connections.
inline std::string freeAddress(const std::string &ip)
{
    static int next = 12'000 + static_cast<int>(::getpid() % 8'000);
    for (int tries = 0; tries < 15'000; ++tries) {
        const int port = next;
        next = next >= 27'000 ? 12'000 : next + 1;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = socketAddress(ip + ":" + std::to_string(port));
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
        ::close(fd);
        if (isFree)
            return ip + ":" + std::to_string(port);
    }
    notRun("no free port on " + ip);
}

/// Sends a request on a new connection; empty when there is no complete response.
inline std::optional<Message> callOnce(const std::string &address, const Message &request, int timeoutMs)
{
    const auto connection = connectTo(address);
    if (!connection->isOpen() || !connection->write(encode(request)))
        return std::nullopt;
    return connection->read(timeoutMs);
}

/// Accepts connections and serves each on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(const std::shared_ptr<Connection> &)>;

    Server(const std::string &ip, int port, Handler handler) : m_handler(std::move(handler))
    {
        m_fd = listenAt(ip, port, m_address);
        m_acceptor = std::thread([this] { accept(); });
    }
    ~Server() { stop(); }

    [[nodiscard]] const std::string &address() const { return m_address; }

    void stop()
    {
        if (m_isStopped.exchange(true))
            return;
        ::shutdown(m_fd, SHUT_RDWR);
        ::close(m_fd);
        m_acceptor.join();
        {
            const std::scoped_lock lock(m_mutex);
            for (const auto &connection : m_connections) {
                if (const auto open = connection.lock())
                    ::shutdown(open->fd(), SHUT_RDWR);
            }
        }
        for (std::thread &thread : m_threads)
            thread.join();
    }

private:
    void accept()
    {
        while (!m_isStopped) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            auto connection = std::make_shared<Connection>(fd);
            const std::scoped_lock lock(m_mutex);
            m_connections.push_back(connection);
            m_threads.emplace_back([this, connection] { m_handler(connection); });
        }
    }

    Handler m_handler;
    int m_fd = -1;
    std::string m_address;
    std::atomic<bool> m_isStopped{false};
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

// ---- the platform's store ------------------------------------------------------------------------------------------

inline std::string base64(const std::string &bytes)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i)
            group = group << 8U | (index + i < bytes.size() ? static_cast<std::uint8_t>(bytes[index + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            text += index + i > bytes.size() ? '=' : letters[group >> (18 - 6 * i) & 63U];
    }
    return text;
}

inline std::string decodeQuery(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> result;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return result;
    std::istringstream parts(target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        result[part.substr(0, equals)] = equals == std::string::npos ? "" : decodeQuery(part.substr(equals + 1));
    }
    return result;
}

/// The platform's store in the form that PROTOCOL.md tells: rows-tx, rows-get and rows-feed. It loses nothing, answers
/// after 4 ms, and its responses are linearizable.
class Store
{
public:
    Store() : m_server("127.0.0.1", 0, [this](const auto &connection) { serve(connection); }) {}

    ~Store()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_isStopped = true;
        }
        m_changed.notify_all();
        m_server.stop();
    }

    [[nodiscard]] const std::string &address() const { return m_server.address(); }

    /// Writes a row as the operator does.
    void put(const std::string &table, const std::string &key, const json &value)
    {
        const std::scoped_lock lock(m_mutex);
        m_rows[{table, key}] = {base64(value.dump()), ++m_version, false};
        m_changed.notify_all();
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    using RowId = std::pair<std::string, std::string>; // table and key; every part is empty

    json rowJson(const RowId &id, const Row &row) const
    {
        json result = {
                {"table", id.first}, {"part", ""}, {"key", id.second}, {"value", row.value}, {"ver", row.version}};
        if (row.isRemoved)
            result["removed"] = true;
        return result;
    }

    json stamped(json result) const
    {
        result["ver"] = m_version;
        result["now_ms"] = std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch()).count();
        return result;
    }

    std::pair<int, json> transact(const json &call)
    {
        const std::scoped_lock lock(m_mutex);
        json current = json::array();
        bool holds = true;
        for (const json &condition : call.value("expected_rev", json::array())) {
            const RowId id{condition.at("table"), condition.at("key")};
            const auto found = m_rows.find(id);
            const bool exists = found != m_rows.end() && !found->second.isRemoved;
            holds = holds && (exists ? found->second.version : 0) == condition.at("ver").get<std::uint64_t>();
            if (exists)
                current.push_back(rowJson(id, found->second));
        }
        if (!holds)
            return {412, stamped({{"rows", current}})};
        ++m_version;
        for (const json &row : call.value("put", json::array()))
            m_rows[{row.at("table"), row.at("key")}] = {row.at("value"), m_version, false};
        for (const json &row : call.value("remove", json::array()))
            m_rows[{row.at("table"), row.at("key")}] = {"", m_version, true};
        m_changed.notify_all();
        return {200, stamped(json::object())};
    }

    json list(const std::map<std::string, std::string> &query)
    {
        const std::scoped_lock lock(m_mutex);
        json rows = json::array();
        const std::string from = query.count("from") ? query.at("from") : "";
        for (const auto &[id, row] : m_rows) {
            if (id.first == query.at("table") && id.second >= from && !row.isRemoved)
                rows.push_back(rowJson(id, row));
        }
        return stamped({{"rows", rows}, {"has_more", false}});
    }

    json feed(const std::map<std::string, std::string> &query)
    {
        const std::uint64_t after = std::stoull(query.at("after"));
        const auto end = Clock::now() + Ms(query.count("wait_ms") ? std::stoi(query.at("wait_ms")) : 0);
        std::unique_lock lock(m_mutex);
        while (true) {
            std::map<std::uint64_t, std::vector<json>> changes;
            for (const auto &[id, row] : m_rows) {
                if (id.first == query.at("table") && row.version > after)
                    changes[row.version].push_back(rowJson(id, row));
            }
            json rows = json::array();
            for (const auto &[version, group] : changes)
                for (const json &row : group)
                    rows.push_back(row);
            if (!rows.empty() || m_isStopped || Clock::now() >= end)
                return stamped({{"rows", rows}});
            m_changed.wait_until(lock, end);
        }
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        while (const auto request = connection->read(600'000)) {
            const std::string target = request->target();
            const std::string path = target.substr(0, target.find('?'));
            const auto query = queryOf(target);
            std::pair<int, json> answer{404, json::object()};
            sleepMs(4);
            if (path == "/api/rows-tx")
                answer = transact(json::parse(request->body));
            else if (path == "/api/rows-get")
                answer = {200, list(query)};
            else if (path == "/api/rows-feed")
                answer = {200, feed(query)};
            Message response;
            response.first = "HTTP/1.1 " + std::to_string(answer.first) + " X";
            response.headers.emplace_back("Content-Type", "application/json");
            response.body = answer.second.dump();
            if (!connection->write(encode(response)))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<RowId, Row> m_rows;
    std::uint64_t m_version = 100;
    bool m_isStopped = false;
    Server m_server;
};

// ---- machines ------------------------------------------------------------------------------------------------------

struct Machine
{
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
    std::string service;
    std::string outbound;
    std::string inbound;
    std::string ready;
    std::string control;
    std::string metrics;
    std::string app;

    Machine(const std::string &machineName, const std::string &machineIp, const std::string &serviceName)
        : name(machineName), ip(machineIp), zone("em-a"), region("east-mids"), service(serviceName)
    {
        for (std::string *address : {&outbound, &inbound, &ready, &control, &metrics, &app})
            *address = freeAddress(ip);
    }
};

/// A back end that runs requests. It behaves as PROTOCOL.md tells; the hooks let a case inject what the page allows.
class Backend
{
public:
    struct Run
    {
        std::string id;
        std::string target;
        std::string caller;
        long at;
    };

    Backend(const Machine &machine, Record &record, std::string backendId)
        : id(std::move(backendId)),
          born(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count()),
          m_machine(machine), m_record(record),
          m_server(machine.ip, std::atoi(machine.app.c_str() + machine.app.find(':') + 1),
                   [this](const auto &connection) { serve(connection); })
    {
    }

    ~Backend()
    {
        stopBeats();
        m_server.stop();
    }

    /// Sends a heartbeat; returns the status, 0 without an answer within a second.
    int beat(const std::string &state, std::uint64_t number) { return send("heartbeat", beatBody(state, number)); }

    [[nodiscard]] json beatBody(const std::string &state, std::uint64_t number) const
    {
        return {{"service", m_machine.service}, {"address", m_machine.app}, {"zone", m_machine.zone},
                {"version", version},           {"slots", slots},           {"state", state},
                {"cold_remaining_ms", 0},       {"sequence", number},       {"born", born}};
    }

    int leave() { return send("leave", {{"born", born}}); }

    /// Sends a call to the control address of the machine.
    int send(const std::string &call, const json &body)
    {
        Message request;
        request.first = "POST /api/rpc?call=instances." + call + "&of=" + id + " HTTP/1.1";
        request.headers = {{"Host", m_machine.control}, {"Content-Type", "application/json"}};
        request.body = body.dump();
        const auto answer = callOnce(m_machine.control, request, 1'000);
        return answer ? answer->status() : 0;
    }

    /// Sends heartbeats with the present state until stopBeats(); \c beatMs apart.
    void startBeats(int beatMs = 1'500)
    {
        m_beats = std::thread([this, beatMs] {
            while (!m_isStopped) {
                const std::string now = state();
                const std::uint64_t number = ++sequence;
                const int status = beat(now, number);
                if (status / 100 == 2 && now == "draining" && !m_drainAcknowledged.exchange(true)) {
                    drainAcknowledgedAt = m_record.ms();
                    m_record.line(id + " draining acknowledged, sequence " + std::to_string(number));
                }
                for (int waited = 0; waited < beatMs && !m_isStopped && state() == now; waited += 20)
                    sleepMs(20);
            }
        });
    }

    void stopBeats()
    {
        m_isStopped = true;
        if (m_beats.joinable())
            m_beats.join();
    }

    [[nodiscard]] std::string state()
    {
        const std::scoped_lock lock(m_mutex);
        return m_state;
    }

    void setState(const std::string &newState)
    {
        const std::scoped_lock lock(m_mutex);
        m_state = newState;
    }

    [[nodiscard]] std::vector<Run> runs()
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs;
    }

    const std::string id;
    const std::int64_t born;
    std::string version = "v1";
    int slots = 16;
    int workMs = 20;
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<long> drainAcknowledgedAt{-1};
    /// Called after a run, before its answer; true means that the answer is lost: the connection is reset.
    std::function<bool(const Run &)> losesAnswer;

private:
    Message answerTo(const Message &request, int status, bool isRun) const
    {
        Message response;
        response.first = "HTTP/1.1 " + std::to_string(status) + " X";
        response.headers = {{"X-Dandeliondock-Attempt-Id", request.header("X-Dandeliondock-Attempt-Id")}};
        if (isRun)
            response.headers.emplace_back("X-Dandeliondock-Server-Seal", "seal-of-" + id);
        else
            response.headers.emplace_back("X-Dandeliondock-Not-Executed", "1");
        return response;
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        while (const auto request = connection->read(10'000)) {
            const std::string expected = request->header("X-Dandeliondock-Expect-Instance");
            if (!expected.empty() && expected != id) {
                if (!connection->write(encode(answerTo(*request, 421, false))))
                    return;
                continue;
            }
            if (++m_running > slots) {
                --m_running;
                if (!connection->write(encode(answerTo(*request, 503, false))))
                    return;
                continue;
            }
            const Run run{request->header("X-Dandeliondock-Attempt-Id"), request->target(),
                          request->header("X-Dandeliondock-Caller-Service"), m_record.ms()};
            {
                const std::scoped_lock lock(m_mutex);
                m_runs.push_back(run);
            }
            m_record.line(id + " (" + m_machine.service + ") runs " + request->method() + " " + run.target + " id "
                          + run.id);
            sleepMs(workMs);
            --m_running;
            if (losesAnswer && losesAnswer(run)) {
                m_record.line(id + " the answer to id " + run.id + " is lost, the connection is reset");
                connection->reset();
                return;
            }
            Message response = answerTo(*request, 200, true);
            response.body = id + " ran " + run.id;
            if (!connection->write(encode(response)))
                return;
        }
    }

    const Machine m_machine;
    Record &m_record;
    std::mutex m_mutex;
    std::string m_state = "ready";
    std::vector<Run> m_runs;
    std::atomic<int> m_running{0};
    std::atomic<bool> m_isStopped{false};
    std::atomic<bool> m_drainAcknowledged{false};
    std::thread m_beats;
    Server m_server;
};

// ---- processes of the proxy ----------------------------------------------------------------------------------------

inline std::string replaceAll(std::string text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
    return text;
}

/// Fills in deploy/proxy.json.template as the platform does.
inline std::string settingsFor(const Machine &machine, const std::string &store)
{
    std::ifstream file("deploy/proxy.json.template");
    if (!file)
        notRun("deploy/proxy.json.template is missing");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    text = replaceAll(text, "{{#limits.link_mbps}}", "");
    text = replaceAll(text, "{{/limits.link_mbps}}", "");
    text = replaceAll(text, "{{.}}", "1000.0");
    const auto colon = machine.metrics.find(':');
    const std::map<std::string, std::string> values = {{"node_name", machine.name},
                                                       {"region", machine.region},
                                                       {"zone", machine.zone},
                                                       {"listen.outbound", machine.outbound},
                                                       {"listen.inbound", machine.inbound},
                                                       {"listen.ready", machine.ready},
                                                       {"listen.control", machine.control},
                                                       {"ip", machine.ip},
                                                       {"internal_ports.0", machine.metrics.substr(colon + 1)},
                                                       {"app_addr", machine.app},
                                                       {"service", machine.service},
                                                       {"platform.address", store},
                                                       {"bounds.grace_s", "6"},
                                                       {"bounds.retry_budget_ratio", "0.2"}};
    for (const auto &[name, value] : values)
        text = replaceAll(text, "{{" + name + "}}", value);
    if (text.find("{{") != std::string::npos)
        notRun("the template has a placeholder that the case doesn't know: " + text);
    return text;
}

/// The process of a proxy, started with the command of deploy/system.toml. Killed when the object ends.
class ProxyProcess
{
public:
    ProxyProcess(const Machine &machine, const std::string &store, Record &record, const std::string &folder)
        : m_machine(machine), m_record(record), m_settings(folder + "/" + machine.name + ".json"),
          m_log(folder + "/" + machine.name + ".log")
    {
        std::ofstream(m_settings) << settingsFor(machine, store);
        start();
    }
    ~ProxyProcess() { kill(); }

    void start()
    {
        const std::string variable = "DANDELIONDOCK_CONFIG=" + m_settings;
        const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin");
        char *environment[] = {const_cast<char *>(variable.c_str()), const_cast<char *>(path.c_str()), nullptr};
        std::string program = "target/dandeliondock-proxy";
        char *arguments[] = {program.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&attributes, &none);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
        if (posix_spawn(&m_pid, program.c_str(), &actions, &attributes, arguments, environment) != 0)
            notRun("cannot start " + program);
        posix_spawn_file_actions_destroy(&actions);
        posix_spawnattr_destroy(&attributes);
        {
            const std::scoped_lock lock(processMutex());
            runningProcesses().insert(m_pid);
        }
        m_record.line(m_machine.name + " started");
    }

    void signal(int number) const { ::kill(m_pid, number); }

    /// Sends SIGKILL and waits for the end.
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        wait();
        m_record.line(m_machine.name + " killed");
    }

    void wait()
    {
        int status = 0;
        const pid_t pid = std::exchange(m_pid, -1);
        waitpid(pid, &status, 0);
        const std::scoped_lock lock(processMutex());
        runningProcesses().erase(pid);
    }

    [[nodiscard]] bool isReady() const
    {
        Message request;
        request.first = "GET /api/readiness HTTP/1.1";
        request.headers = {{"Host", m_machine.ready}};
        const auto answer = callOnce(m_machine.ready, request, 1'000);
        return answer && answer->status() == 200;
    }

    void awaitReady() const
    {
        for (int tries = 0; tries < 200; ++tries) {
            if (isReady())
                return;
            sleepMs(50);
        }
        notRun(m_machine.name + " did not become ready");
    }

    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    const Machine m_machine;
    Record &m_record;
    const std::string m_settings;
    const std::string m_log;
    pid_t m_pid = -1;
};

// ---- clients -------------------------------------------------------------------------------------------------------

/// Makes a client's request.
inline Message clientRequest(const std::string &method, const std::string &host, const std::string &path,
                             const std::string &id, int budgetMs, const std::string &body = {})
{
    Message request;
    request.first = method + " " + path + " HTTP/1.1";
    request.headers = {{"Host", host},
                       {"X-Dandeliondock-Attempt-Id", id},
                       {"X-Dandeliondock-Time-Budget", std::to_string(budgetMs)}};
    request.body = body;
    return request;
}

/// Sends a client's request on a new connection and records what came of it; the status is 0 without an answer.
inline int callAsClient(Record &record, const Machine &machine, const Message &request, int budgetMs)
{
    const std::string id = request.header("X-Dandeliondock-Attempt-Id");
    record.line("client sends " + request.first + " id " + id + " to " + machine.name);
    const auto answer = callOnce(machine.outbound, request, budgetMs + 500);
    const int status = answer ? answer->status() : 0;
    record.line("client gets " + (answer ? std::to_string(status) : std::string("no answer")) + " for id " + id);
    return status;
}

inline json route(const std::string &prefix, const std::string &kind, const std::string &service, int priority)
{
    return {{"host", "orders.example"}, {"prefix", prefix},     {"kind", kind},       {"timeout_ms", 2'000},
            {"target_latency_ms", 400}, {"priority", priority}, {"service", service}, {"max_attempts", 2}};
}

inline json config(int version, const json &routes, const std::set<std::string> &services)
{
    json result = {{"version", "r" + std::to_string(version)},
                   {"routes", routes},
                   {"services", json::object()},
                   {"limits",
                    {{"max_header_bytes", 16'384},
                     {"max_body_bytes", 67'108'864},
                     {"header_timeout_ms", 3'000},
                     {"idle_timeout_ms", 15'000}}}};
    for (const std::string &service : services)
        result["services"][service] = {
                {"health_path", "/health"}, {"max_connections", 130}, {"protocol", "h1"}, {"tls", false}};
    return result;
}

/// A temporary folder, removed at the end unless KEEP=1.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char name[] = "/tmp/review-XXXXXX";
        if (mkdtemp(name) == nullptr)
            notRun("no temporary folder");
        m_path = name;
    }
    ~TemporaryFolder()
    {
        if (std::getenv("KEEP") != nullptr) {
            std::cerr << "kept " << m_path << std::endl;
            return;
        }
        for (const std::string &name : m_names)
            ::unlink((m_path + "/" + name).c_str());
        ::rmdir(m_path.c_str());
    }
    [[nodiscard]] const std::string &path() const { return m_path; }
    void owns(const std::string &machine)
    {
        m_names.push_back(machine + ".json");
        m_names.push_back(machine + ".log");
    }

private:
    std::string m_path;
    std::vector<std::string> m_names;
};

} // namespace review
