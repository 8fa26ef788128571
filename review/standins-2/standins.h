// Stand-ins for the review cases of this folder: the platform's store, backends, clients and the processes of the
// system under review. Each class runs on threads of the test process; only the proxies are separate processes.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
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
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point testStart = Clock::now();

inline long nowMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - testStart).count();
}

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(milliseconds(std::max(ms, 0L)));
}

// Exit codes of a case.
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int couldNotRun = 2;

/// The record of one run: one line per event, with milliseconds since the start of the test.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path, std::ios::trunc) {}

    void line(const std::string &text)
    {
        const std::scoped_lock lock(m_mutex);
        m_file << nowMs() << " " << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// ---------------------------------------------------------------------------------------------------------- sockets

/// A port below the range from which the system takes the ports of outgoing connections.
inline int freePort()
{
    static int next = 12'000 + static_cast<int>(::getpid() % 900) * 20;
    for (int tries = 0; tries < 5'000; ++tries) {
        const int port = next++;
        if (next >= 32'000)
            next = 12'000;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree)
            return port;
    }
    std::cerr << "no free port\n";
    std::exit(couldNotRun);
}

inline std::string localAddress(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// A blocking connection that reads HTTP/1.1 messages.
class Connection
{
public:
    explicit Connection(int fd = -1) : m_fd(fd)
    {
        const int on = 1;
        if (fd >= 0)
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(Connection &&other) noexcept : m_fd(std::exchange(other.m_fd, -1)), m_buffer(std::move(other.m_buffer))
    {
    }
    Connection &operator=(Connection &&other) noexcept
    {
        close();
        m_fd = std::exchange(other.m_fd, -1);
        m_buffer = std::move(other.m_buffer);
        return *this;
    }
    ~Connection() { close(); }

    static Connection open(int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(fd);
            return Connection();
        }
        return Connection(fd);
    }

    [[nodiscard]] bool isOpen() const { return m_fd >= 0; }
    [[nodiscard]] int descriptor() const { return m_fd; }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_buffer.clear();
    }

    /// Closes with a reset.
    void reset()
    {
        const linger now{1, 0};
        if (m_fd >= 0)
            ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

    bool write(const std::string &text)
    {
        std::size_t sent = 0;
        while (m_fd >= 0 && sent < text.size()) {
            const ssize_t count = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return m_fd >= 0;
    }

    /// Reads more bytes; false at the end, on an error or when the time is up.
    bool readMore(long timeoutMs)
    {
        if (m_fd < 0)
            return false;
        pollfd polled{m_fd, POLLIN, 0};
        if (::poll(&polled, 1, static_cast<int>(timeoutMs)) <= 0) {
            m_isTimedOut = true;
            return false;
        }
        char bytes[65'536];
        const ssize_t count = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    [[nodiscard]] bool isTimedOut() const { return m_isTimedOut; }

    struct Message
    {
        std::string startLine;
        std::vector<std::pair<std::string, std::string>> headers;
        std::string body;

        [[nodiscard]] std::string header(std::string name) const
        {
            for (const auto &[key, value] : headers) {
                if (::strcasecmp(key.c_str(), name.c_str()) == 0)
                    return value;
            }
            return {};
        }
        [[nodiscard]] bool hasHeader(const std::string &name) const
        {
            return std::any_of(headers.begin(), headers.end(),
                               [&](const auto &line) { return ::strcasecmp(line.first.c_str(), name.c_str()) == 0; });
        }
        [[nodiscard]] int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
        [[nodiscard]] std::string method() const { return startLine.substr(0, startLine.find(' ')); }
        [[nodiscard]] std::string target() const
        {
            const std::size_t begin = startLine.find(' ') + 1;
            return startLine.substr(begin, startLine.find(' ', begin) - begin);
        }
    };

    /// Reads one message with a length (or without a body).
    std::optional<Message> read(long timeoutMs)
    {
        const auto end = Clock::now() + milliseconds(timeoutMs);
        const auto left = [&] {
            return std::max<long>(0, std::chrono::duration_cast<milliseconds>(end - Clock::now()).count());
        };
        m_isTimedOut = false;
        std::size_t headEnd = 0;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(left()))
                return std::nullopt;
        }
        Message message;
        std::size_t position = m_buffer.find("\r\n");
        message.startLine = m_buffer.substr(0, position);
        position += 2;
        while (position < headEnd + 2) {
            const std::size_t lineEnd = m_buffer.find("\r\n", position);
            const std::string line = m_buffer.substr(position, lineEnd - position);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t value = colon + 1;
                while (value < line.size() && line[value] == ' ')
                    ++value;
                message.headers.emplace_back(line.substr(0, colon), line.substr(value));
            }
            position = lineEnd + 2;
        }
        m_buffer.erase(0, headEnd + 4);
        const std::string length = message.header("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
        while (m_buffer.size() < size) {
            if (!readMore(left()))
                return std::nullopt;
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return message;
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_isTimedOut = false;
};

using Message = Connection::Message;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string responseText(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string requestText(const std::string &method, const std::string &target, const Headers &headers,
                               const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// A server with one thread for each connection.
class Server
{
public:
    using Handler = std::function<bool(Connection &connection, const Message &request)>;

    Server(int port, Handler handler) : m_handler(std::move(handler)), m_port(port)
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_listener, 256) != 0) {
            std::cerr << "cannot listen on port " << port << "\n";
            std::exit(couldNotRun);
        }
        m_acceptor = std::thread([this] { accept(); });
    }
    ~Server() { stop(); }

    void stop()
    {
        if (m_isStopped.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        closeConnections();
        for (std::thread &thread : m_threads)
            thread.join();
    }

    /// Shuts all open connections down.
    void closeConnections()
    {
        const std::scoped_lock lock(m_mutex);
        for (const int fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
    }

    [[nodiscard]] bool isStopped() const { return m_isStopped; }
    [[nodiscard]] int port() const { return m_port; }

private:
    void accept()
    {
        while (!m_isStopped) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_isStopped)
                    return;
                sleepMs(5);
                continue;
            }
            const std::scoped_lock lock(m_mutex);
            m_open.insert(fd);
            m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        Connection connection(fd);
        while (!m_isStopped) {
            const auto request = connection.read(60'000);
            if (!request || !m_handler(connection, *request))
                break;
        }
        const std::scoped_lock lock(m_mutex);
        m_open.erase(fd);
        connection.close();
    }

    Handler m_handler;
    int m_port;
    int m_listener;
    std::atomic<bool> m_isStopped{false};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
};

// ------------------------------------------------------------------------------------------------------------ store

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = static_cast<unsigned char>(bytes[i]) << 16;
        if (i + 1 < bytes.size())
            group |= static_cast<unsigned char>(bytes[i + 1]) << 8;
        if (i + 2 < bytes.size())
            group |= static_cast<unsigned char>(bytes[i + 2]);
        text += digits[group >> 18 & 63];
        text += digits[group >> 12 & 63];
        text += i + 1 < bytes.size() ? digits[group >> 6 & 63] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63] : '=';
    }
    return text;
}

/// The platform's store: rows in tables, transactions under conditions, and the feed of changes.
class Store
{
public:
    explicit Store(Record &record)
        : m_record(record), m_server(freePort(), [this](Connection &connection, const Message &request) {
              return handle(connection, request);
          })
    {
    }
    ~Store() { stop(); }

    void stop()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_isStopped = true;
        }
        m_changed.notify_all();
        m_server.stop();
    }

    [[nodiscard]] std::string address() const { return localAddress(m_server.port()); }

    /// A write of the operator; returns when it is acknowledged.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        {
            const std::scoped_lock lock(m_mutex);
            ++m_state.version;
            write({table, key}, base64(value), m_state.version);
            m_record.line("store: operator wrote " + table + "/" + key + " ver " + std::to_string(m_state.version) + " "
                          + value.substr(0, 60));
        }
        m_changed.notify_all();
    }

    /// Takes the copy from which the store comes back.
    void takeCopy()
    {
        const std::scoped_lock lock(m_mutex);
        m_copy = m_state;
        m_record.line("store: copy taken at ver " + std::to_string(m_state.version));
    }

    /// The store is away (503) from now on.
    void goAway()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_isAway = true;
            m_record.line("store: away at ver " + std::to_string(m_state.version));
        }
        m_changed.notify_all();
        m_server.closeConnections();
    }

    /// The store answers again, as it was.
    void comeBack()
    {
        const std::scoped_lock lock(m_mutex);
        m_isAway = false;
        m_record.line("store: back at ver " + std::to_string(m_state.version));
    }

    /// The store answers again, from the copy; what the operator wrote since the copy is written again.
    void comeBackFromCopy()
    {
        const std::scoped_lock lock(m_mutex);
        const long lostVersion = m_state.version;
        const auto newest = m_state.rows;
        m_state = m_copy;
        for (const auto &[key, row] : newest) {
            if (key.first != "op")
                continue;
            const auto copied = m_state.rows.find(key);
            if (copied != m_state.rows.end() && copied->second.value == row.value)
                continue;
            ++m_state.version;
            write(key, row.value, m_state.version);
        }
        ++m_era;
        m_isAway = false;
        m_record.line("store: back from the copy at ver " + std::to_string(m_state.version) + ", was at "
                      + std::to_string(lostVersion) + ", era " + std::to_string(m_era));
    }

    [[nodiscard]] long version()
    {
        const std::scoped_lock lock(m_mutex);
        return m_state.version;
    }

    [[nodiscard]] std::vector<std::string> keys(const std::string &table)
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<std::string> names;
        for (const auto &[key, row] : m_state.rows) {
            if (key.first == table)
                names.push_back(key.second);
        }
        return names;
    }

private:
    using Key = std::pair<std::string, std::string>; ///< table and key; the part is always empty
    struct Row
    {
        std::string value;
        long version = 0;
    };
    struct Change
    {
        long version;
        Key key;
        std::optional<std::string> value; ///< none: removed
    };
    struct State
    {
        std::map<Key, Row> rows;
        std::vector<Change> changes;
        long version = 100;
    };

    void write(const Key &key, const std::string &value, long version)
    {
        m_state.rows[key] = {value, version};
        m_state.changes.push_back({version, key, value});
    }

    static std::string unescape(const std::string &text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                plain += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                plain += text[i];
            }
        }
        return plain;
    }

    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> query;
        std::size_t position = target.find('?');
        while (position != std::string::npos) {
            const std::size_t next = target.find('&', position + 1);
            const std::string item = target.substr(position + 1, next - position - 1);
            const std::size_t equals = item.find('=');
            if (equals != std::string::npos)
                query[item.substr(0, equals)] = unescape(item.substr(equals + 1));
            position = next;
        }
        return query;
    }

    bool handle(Connection &connection, const Message &request)
    {
        sleepMs(4);
        std::unique_lock lock(m_mutex);
        if (m_isStopped)
            return false;
        if (m_isAway)
            return answer(connection, lock, 503, json::object());
        const std::string target = request.target();
        const auto query = queryOf(target);
        if (target.rfind("/api/rows-tx", 0) == 0)
            return transact(connection, lock, request.body);
        if (target.rfind("/api/rows-get", 0) == 0)
            return get(connection, lock, query);
        if (target.rfind("/api/rows-feed", 0) == 0)
            return feed(connection, lock, query);
        m_record.line("store: unknown call " + request.startLine);
        return answer(connection, lock, 404, json::object());
    }

    bool answer(Connection &connection, std::unique_lock<std::mutex> &lock, int status, json body)
    {
        const long era = m_era;
        if (status != 503) {
            body["ver"] = m_state.version;
            body["now_ms"] = 1'000'000 + nowMs();
        }
        lock.unlock();
        return connection.write(responseText(
                status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}}, body.dump()));
    }

    static Key keyOf(const json &entry) { return {entry.at("table"), entry.at("key")}; }

    bool transact(Connection &connection, std::unique_lock<std::mutex> &lock, const std::string &text)
    {
        const json body = json::parse(text);
        json current = json::array();
        bool isMet = true;
        for (const json &condition : body.value("expected_rev", json::array())) {
            const Key key = keyOf(condition);
            const auto found = m_state.rows.find(key);
            const long version = found == m_state.rows.end() ? 0 : found->second.version;
            isMet = isMet && version == condition.at("ver").get<long>();
            if (found != m_state.rows.end())
                current.push_back({{"table", key.first},
                                   {"part", ""},
                                   {"key", key.second},
                                   {"value", found->second.value},
                                   {"ver", version}});
        }
        if (!isMet)
            return answer(connection, lock, 412, {{"rows", current}});
        ++m_state.version;
        for (const json &entry : body.value("put", json::array())) {
            write(keyOf(entry), entry.at("value"), m_state.version);
            m_record.line("store: system wrote " + keyOf(entry).first + "/" + keyOf(entry).second + " ver "
                          + std::to_string(m_state.version));
        }
        for (const json &entry : body.value("remove", json::array())) {
            m_state.rows.erase(keyOf(entry));
            m_state.changes.push_back({m_state.version, keyOf(entry), std::nullopt});
        }
        m_changed.notify_all();
        return answer(connection, lock, 200, json::object());
    }

    bool get(Connection &connection, std::unique_lock<std::mutex> &lock, std::map<std::string, std::string> query)
    {
        json rows = json::array();
        const std::size_t limit = query.count("limit") > 0 ? std::stoul(query["limit"]) : 500;
        bool hasMore = false;
        for (const auto &[key, row] : m_state.rows) {
            if (key.first != query["table"] || key.second < query["from"])
                continue;
            if (query.count("target") > 0 && key.second >= query["target"])
                continue;
            if (rows.size() == limit) {
                hasMore = true;
                break;
            }
            rows.push_back({{"table", key.first},
                            {"part", ""},
                            {"key", key.second},
                            {"value", row.value},
                            {"ver", row.version}});
        }
        return answer(connection, lock, 200, {{"rows", rows}, {"has_more", hasMore}});
    }

    bool feed(Connection &connection, std::unique_lock<std::mutex> &lock, std::map<std::string, std::string> query)
    {
        const long after = std::stol(query["after"]);
        const auto end = Clock::now() + milliseconds(std::stol(query["wait_ms"]));
        const long era = m_era;
        while (true) {
            if (m_isStopped || (m_isAway && era == m_era))
                return false;
            if (after > m_state.version || era != m_era)
                return answer(connection, lock, 410, json::object());
            std::map<Key, const Change *> newest;
            for (const Change &change : m_state.changes) {
                if (change.version > after && change.key.first == query["table"])
                    newest[change.key] = &change;
            }
            std::vector<const Change *> ordered;
            for (const auto &[key, change] : newest)
                ordered.push_back(change);
            std::sort(ordered.begin(), ordered.end(),
                      [](const Change *left, const Change *right) { return left->version < right->version; });
            json rows = json::array();
            for (const Change *change : ordered) {
                json row = {{"table", change->key.first},
                            {"part", ""},
                            {"key", change->key.second},
                            {"ver", change->version}};
                if (change->value)
                    row["value"] = *change->value;
                else
                    row["removed"] = true;
                rows.push_back(row);
            }
            if (!rows.empty() || Clock::now() >= end)
                return answer(connection, lock, 200, {{"rows", rows}});
            m_changed.wait_until(lock, end);
        }
    }

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    State m_copy;
    long m_era = 1;
    bool m_isAway = false;
    bool m_isStopped = false;
    Server m_server;
};

// ---------------------------------------------------------------------------------------------------------- backends

/// What is known of one machine: its addresses and the service of its backend.
struct Machine
{
    std::string name;
    std::string service;
    std::string region = "east-mids";
    std::string zone = "em-a";
    int callers = freePort();
    int door = freePort();
    int ready = freePort();
    int control = freePort();
    int metrics = freePort();
    int app = freePort();
};

inline long unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// One run of a request at a backend.
struct Run
{
    long at;
    std::string backend;
    std::string service;
    std::string attempt;
    std::string startLine;
    std::string body{};
};

/// All runs of all backends.
class Runs
{
public:
    explicit Runs(Record &record) : m_record(record) {}

    void add(Run run)
    {
        m_record.line("backend " + run.backend + " (" + run.service + ") runs " + run.attempt + " " + run.startLine);
        const std::scoped_lock lock(m_mutex);
        m_runs.push_back(std::move(run));
    }

    [[nodiscard]] std::vector<Run> of(const std::string &attempt) const
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<Run> found;
        std::copy_if(m_runs.begin(), m_runs.end(), std::back_inserter(found),
                     [&](const Run &run) { return run.attempt == attempt; });
        return found;
    }

    [[nodiscard]] std::vector<Run> all() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs;
    }

private:
    Record &m_record;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// A sound backend: it serves requests, sends heartbeats to its machine's proxy, drains and leaves.
class Backend
{
public:
    Backend(const Machine &machine, std::string id, Record &record, Runs &runs, std::string version = "v1")
        : m_machine(machine), m_id(std::move(id)), m_version(std::move(version)), m_record(record), m_runs(runs),
          m_born(unixMs()),
          m_server(machine.app,
                   [this](Connection &connection, const Message &request) { return handle(connection, request); }),
          m_heartbeats([this] { beat(); })
    {
    }
    ~Backend() { stop(); }

    void stop()
    {
        if (m_isStopped.exchange(true))
            return;
        m_heartbeats.join();
        m_server.stop();
        m_record.line("backend " + m_id + " ends");
    }

    /// Reports that it drains, until that is acknowledged.
    bool drain()
    {
        m_isDraining = true;
        return untilAcknowledged("drain", [this] { return sendHeartbeat(); });
    }

    /// Sends the leave call until it is acknowledged; afterwards it sends nothing more, but goes on to serve.
    bool leave()
    {
        m_isGone = true;
        return untilAcknowledged("leave", [this] {
            return call("/api/rpc?call=instances.leave&of=" + m_id, json{{"born", m_born}});
        });
    }

    [[nodiscard]] long acknowledgedAt() const { return m_acknowledgedAt; }
    [[nodiscard]] const std::string &id() const { return m_id; }

    std::atomic<long> workMs{20};
    /// Work time and body of the answer to a request; without it, workMs and a short body.
    std::function<std::pair<long, std::string>(const Message &)> work;

private:
    template <typename Call>
    bool untilAcknowledged(const char *what, Call send)
    {
        for (int attempt = 0; attempt < 12; ++attempt) {
            if (send()) {
                m_acknowledgedAt = nowMs();
                m_record.line("backend " + m_id + ": " + what + " acknowledged");
                return true;
            }
            sleepMs(400);
        }
        m_record.line("backend " + m_id + ": " + what + " not acknowledged");
        return false;
    }

    bool call(const std::string &target, const json &body)
    {
        Connection connection = Connection::open(m_machine.control);
        if (!connection.write(requestText("POST", target, {{"Host", "control"}, {"Content-Type", "application/json"}},
                                          body.dump())))
            return false;
        const auto response = connection.read(1'000);
        return response && response->status() / 100 == 2;
    }

    bool sendHeartbeat()
    {
        return call("/api/rpc?call=instances.heartbeat&of=" + m_id, {{"service", m_machine.service},
                                                                     {"address", localAddress(m_machine.app)},
                                                                     {"zone", m_machine.zone},
                                                                     {"version", m_version},
                                                                     {"slots", 16},
                                                                     {"state", m_isDraining ? "draining" : "ready"},
                                                                     {"cold_remaining_ms", 0},
                                                                     {"sequence", ++m_sequence},
                                                                     {"born", m_born}});
    }

    void beat()
    {
        long next = 0;
        while (!m_isStopped) {
            if (nowMs() >= next && !m_isGone) {
                next = nowMs() + (sendHeartbeat() ? 1'500 : 300);
            }
            sleepMs(20);
        }
    }

    bool handle(Connection &connection, const Message &request)
    {
        const std::string attempt = request.header("X-Dandeliondock-Attempt-Id");
        if (request.target() == "/health")
            return connection.write(
                    responseText(m_isDraining ? 503 : 200, {{"X-Dandeliondock-Instance-Id", m_id}}, ""));
        const std::string expected = request.header("X-Dandeliondock-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return connection.write(responseText(
                    421, {{"X-Dandeliondock-Instance-Id", m_id}, {"X-Dandeliondock-Attempt-Id", attempt}}, ""));
        m_runs.add({nowMs(), m_id, m_machine.service, attempt, request.startLine, request.body});
        std::pair<long, std::string> answer = {workMs, "service=" + m_machine.service + " backend=" + m_id};
        if (work)
            answer = work(request);
        sleepMs(answer.first);
        return connection.write(responseText(
                200, {{"X-Dandeliondock-Attempt-Id", attempt}, {"X-Dandeliondock-Server-Seal", "seal-" + attempt}},
                answer.second));
    }

    Machine m_machine;
    std::string m_id;
    std::string m_version;
    Record &m_record;
    Runs &m_runs;
    long m_born;
    std::atomic<long> m_sequence{0};
    std::atomic<bool> m_isStopped{false};
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_isGone{false};
    std::atomic<long> m_acknowledgedAt{0};
    Server m_server;
    std::thread m_heartbeats;
};

// ----------------------------------------------------------------------------------------------------------- proxies

/// A temporary folder, removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char pattern[] = "/tmp/dandeliondock-review-XXXXXX";
        const char *made = ::mkdtemp(pattern);
        if (made == nullptr) {
            std::cerr << "no temporary folder\n";
            std::exit(couldNotRun);
        }
        m_path = made;
    }
    ~TemporaryFolder()
    {
        for (const std::string &name : m_files)
            ::unlink(name.c_str());
        ::rmdir(m_path.c_str());
    }
    std::string file(const std::string &name)
    {
        m_files.insert(m_path + "/" + name);
        return m_path + "/" + name;
    }

private:
    std::string m_path;
    std::set<std::string> m_files;
};

/// One proxy process, started with the command of the deploy file.
class Proxy
{
public:
    Proxy(const Machine &machine, const Store &store, TemporaryFolder &folder, Record &record,
          json more = json::object())
        : m_machine(machine), m_record(record), m_settings(folder.file(machine.name + ".json")),
          m_log(folder.file(machine.name + ".log"))
    {
        // deploy/proxy.json.template with the values of the small deployment feedshare-mids
        json settings = {{"node", machine.name},
                         {"region", machine.region},
                         {"data_centre", machine.zone},
                         {"callers", localAddress(machine.callers)},
                         {"door", localAddress(machine.door)},
                         {"health", localAddress(machine.ready)},
                         {"announcements", localAddress(machine.control)},
                         {"metrics", localAddress(machine.metrics)},
                         {"target", localAddress(machine.app)},
                         {"service", machine.service},
                         {"store", store.address()},
                         {"grace_s", 6},
                         {"retry_share", 0.2},
                         {"link_mbps", 1000.0},
                         {"memory_mb", 260},
                         {"max_fds", 4100},
                         {"config_apply_ms", 2000}};
        settings.update(more);
        std::ofstream(m_settings) << settings.dump(2) << "\n";
        start();
    }
    ~Proxy() { kill(); }

    void start()
    {
        m_record.line("proxy " + m_machine.name + " starts");
        const char *program = "target/dandeliondock-proxy";
        const std::string variable = "DANDELIONDOCK_CONFIG=" + m_settings;
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            char *arguments[] = {const_cast<char *>(program), nullptr};
            char *environment[] = {const_cast<char *>(variable.c_str()), nullptr};
            ::execve(program, arguments, environment);
            ::_exit(127);
        }
    }

    /// Ends the process at once.
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
        m_record.line("proxy " + m_machine.name + " killed");
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    /// Whether the process has ended by itself.
    [[nodiscard]] std::optional<int> ended()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return status;
        }
        return std::nullopt;
    }

    [[nodiscard]] bool isReady() const
    {
        Connection connection = Connection::open(m_machine.ready);
        if (!connection.write(requestText("GET", "/api/readiness", {{"Host", "ready"}}, "")))
            return false;
        const auto response = connection.read(1'000);
        return response && response->status() == 200;
    }

    [[nodiscard]] bool awaitReady(long timeoutMs) const
    {
        const long end = nowMs() + timeoutMs;
        while (nowMs() < end) {
            if (isReady())
                return true;
            sleepMs(50);
        }
        return false;
    }

    [[nodiscard]] pid_t pid() const { return m_pid; }
    [[nodiscard]] const Machine &machine() const { return m_machine; }
    [[nodiscard]] const std::string &logPath() const { return m_log; }

private:
    Machine m_machine;
    Record &m_record;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

// ----------------------------------------------------------------------------------------------------------- clients

inline std::string nextAttempt()
{
    static std::atomic<int> count{0};
    return "a" + std::to_string(10'000 + count++);
}

struct Answer
{
    std::string attempt;
    int status = 0; ///< 0: no answer
    std::string seal;
    std::string body{};
    long sentAt = 0;
};

struct Call
{
    std::string method = "GET";
    std::string host = "feed.example";
    std::string path;
    std::string body{};
    long budgetMs = 2'000;
    Headers more{};
};

/// Sends one request on a connection of the client and awaits the answer.
inline Answer send(Connection &connection, const Call &call, Record &record, bool isQuiet = false)
{
    Answer answer;
    answer.attempt = nextAttempt();
    answer.sentAt = nowMs();
    Headers headers = {{"Host", call.host},
                       {"X-Dandeliondock-Attempt-Id", answer.attempt},
                       {"X-Dandeliondock-Time-Budget", std::to_string(call.budgetMs)}};
    headers.insert(headers.end(), call.more.begin(), call.more.end());
    if (!isQuiet)
        record.line("client sends " + answer.attempt + " " + call.method + " " + call.path);
    if (connection.isOpen() && connection.write(requestText(call.method, call.path, headers, call.body))) {
        if (const auto response = connection.read(call.budgetMs + 500)) {
            answer.status = response->status();
            answer.seal = response->header("X-Dandeliondock-Server-Seal");
            answer.body = response->body;
        }
    }
    if (!isQuiet)
        record.line("client gets " + answer.attempt + " status " + std::to_string(answer.status) + " "
                    + answer.body.substr(0, 60));
    return answer;
}

inline Answer send(const Machine &machine, const Call &call, Record &record)
{
    Connection connection = Connection::open(machine.callers);
    return send(connection, call, record);
}

/// Whether the disruption of the case is brought about.
inline bool isTroubleOn()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

inline json service()
{
    return {{"health_path", "/health"}, {"max_connections", 130}, {"protocol", "h1"}, {"tls", false}};
}

inline json route(const std::string &prefix, const std::string &service, const std::string &kind = "safe")
{
    return {{"host", "feed.example"},   {"prefix", prefix}, {"kind", kind},       {"timeout_ms", 2'000},
            {"target_latency_ms", 300}, {"priority", 1},    {"service", service}, {"max_attempts", 2}};
}

inline json limits()
{
    return {{"max_header_bytes", 16'384},
            {"max_body_bytes", 1'048'576},
            {"header_timeout_ms", 3'000},
            {"idle_timeout_ms", 15'000}};
}

} // namespace review
