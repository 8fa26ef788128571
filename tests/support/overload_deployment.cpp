#include "overload_deployment.h"

#include "crowd.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <utility>

namespace dandeliondock::testing {

namespace {

constexpr int targetSlots = 64;

std::string localAddress(std::uint16_t port)
{
    return absl::StrCat("127.0.0.1:", port);
}

std::string configText()
{
    return absl::StrCat(R"({"version":"r1","routes":{"upload":{"host":"h","prefix":"/a/","kind":"safe",)",
                        R"("timeout_ms":15000,"priority":1,"service":"s","max_attempts":2}},)",
                        R"("services":{"s":{"health_path":"/health","max_connections":130}},)",
                        R"("limits":{"max_header_bytes":)", OverloadDeployment::maxHeaderBytes, R"(,"max_body_bytes":)",
                        OverloadDeployment::maxBodyBytes, R"(,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

// Whether this is the first attempt of the request with this id at any target.
bool isFirstAttempt(const HttpRequest &request)
{
    static std::mutex mutex;
    static std::set<std::string> ids;
    const std::scoped_lock lock(mutex);
    return ids.emplace(request.headers.first("X-Dandeliondock-Attempt-Id").value_or("")).second;
}

// The ports are those of ProxyProcess::ports().
std::string settingsText(const std::string &name, const std::vector<std::uint16_t> &ports, const Address &target,
                         const Address &store)
{
    return absl::StrCat(R"({"node":")", name, R"(","region":"east","data_centre":"a","callers":")",
                        localAddress(ports[0]), R"(","door":")", localAddress(ports[1]), R"(","health":")",
                        localAddress(ports[2]), R"(","announcements":")", localAddress(ports[3]), R"(","metrics":")",
                        localAddress(ports[4]), R"(","target":")", target.value(), R"(","service":"s","store":")",
                        store.value(), R"(","grace_s":2,"log_level":"error","memory_mb":)",
                        OverloadDeployment::memoryLimit / 1'000'000, R"(,"max_fds":)",
                        OverloadDeployment::descriptorLimit, "}");
}

std::uint64_t statusKilobytes(const std::string &line)
{
    std::istringstream text(line.substr(line.find(':') + 1));
    std::uint64_t kilobytes = 0;
    text >> kilobytes;
    return kilobytes * 1'024;
}

} // namespace

ProcessUsage usageOf(const ChildProcess &process)
{
    ProcessUsage usage;
    const std::string folder = absl::StrCat("/proc/", process.pid());
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (absl::StartsWith(line, "VmHWM:"))
            usage.peakBytes = statusKilobytes(line);
        else if (absl::StartsWith(line, "VmRSS:"))
            usage.residentBytes = statusKilobytes(line);
    }
    usage.isRunning = usage.peakBytes > 0; // a process that has ended and is not reaped has no memory
    std::error_code ignored;
    for (auto entry = std::filesystem::directory_iterator(folder + "/fd", ignored);
         entry != std::filesystem::directory_iterator(); entry.increment(ignored))
        ++usage.descriptors;
    std::ifstream stat(folder + "/stat");
    std::string field;
    std::uint64_t ticks = 0;
    for (int index = 1; index <= 15 && stat >> field; ++index) {
        if (index >= 14) // utime, stime
            ticks += std::stoull(field);
    }
    usage.cpuSeconds = static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
    return usage;
}

OverloadTarget::OverloadTarget() : m_port(freePort())
{
    m_thread.run([this] {
        m_server = std::make_unique<AsyncHttpServer>(m_thread.loop(),
                                                     [this](const HttpRequestContextPtr &context) { handle(context); });
        ConnectionLimits limits;
        limits.maxHeaderBytes = ByteCount(2 * OverloadDeployment::maxHeaderBytes);
        limits.maxBodyBytes = ByteCount(2 * OverloadDeployment::maxBodyBytes);
        limits.requestReadTimeout = Milliseconds(60'000);
        m_server->setLimits(limits);
        if (!m_server->listen(address()).ok())
            std::abort();
    });
}

OverloadTarget::~OverloadTarget()
{
    m_thread.run([this] {
        m_timers.clear();
        m_server.reset();
    });
}

Address OverloadTarget::address() const
{
    return Address(localAddress(m_port));
}

void OverloadTarget::handle(const HttpRequestContextPtr &context)
{
    const HttpRequest &request = context->request();
    longestBody = std::max<std::size_t>(longestBody, request.body.size());
    HttpResponse response;
    response.headers.add("X-Dandeliondock-Attempt-Id",
                         request.headers.first("X-Dandeliondock-Attempt-Id").value_or(""));
    response.headers.add("X-Dandeliondock-Server-Seal", "seal");
    response.body = absl::StrCat("length ", request.body.size());
    if (request.target == "/a/large")
        response.body = std::string(largeResponseSize, 'x');
    if (request.target == "/a/slow") {
        respondAfter(slowWorkTime, context, std::move(response));
    } else if (request.target == "/a/delay") {
        respondAfter(shortWorkTime, context, std::move(response));
    } else if (request.target != "/a/fail" && request.target != "/a/busy") {
        context->respond(std::move(response));
    } else if (!isFirstAttempt(request)) {
        respondAfter(slowWorkTime, context, std::move(response));
    } else if (request.target == "/a/fail") {
        response.status = 500;
        response.body = std::string(failureSize, 'x');
        context->respond(std::move(response));
    } else {
        response.status = 503;
        response.headers.add("X-Dandeliondock-Not-Executed", "1");
        respondAfter(shortWorkTime, context, std::move(response));
    }
}

void OverloadTarget::respondAfter(Milliseconds time, const HttpRequestContextPtr &context, HttpResponse response)
{
    m_timers.push_back(
            m_thread.loop().after(time, [context, response = std::move(response)] { context->respond(response); }));
}

ProxyProcess::ProxyProcess(const std::string &name, const Address &store, const Address &otherTarget)
    : m_name(name), m_target(otherTarget.value().empty() ? target.address() : otherTarget), m_callersPort(freePort()),
      m_inboundPort(freePort()), m_healthPort(freePort()), m_announcementsPort(freePort()), m_metricsPort(freePort()),
      m_process("dandeliondock-proxy",
                {"--settings", writeTemporary(name + ".json", settingsText(name, ports(), m_target, store))})
{
}

std::vector<std::uint16_t> ProxyProcess::ports() const
{
    return {m_callersPort, m_inboundPort, m_healthPort, m_announcementsPort, m_metricsPort};
}

void ProxyProcess::announceTarget() const
{
    const std::string body = absl::StrCat(R"({"service":"s","address":")", m_target.value(),
                                          R"(","zone":"a","version":"v1",)", R"("slots":)", targetSlots,
                                          R"(,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1000})");
    const CrowdClient client(m_announcementsPort);
    client.send(absl::StrCat("POST /api/rpc?call=instances.heartbeat&of=", m_name,
                             " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: ", body.size(), "\r\n\r\n",
                             body));
    static_cast<void>(client.readAll());
}

OverloadDeployment::OverloadDeployment(const Address &otherTarget)
    : callers("one", store.address()), inbound("two", store.address(), otherTarget)
{
    store.put("op", "config", configText());
    const auto end = std::chrono::steady_clock::now() + convergenceLimit;
    bool isAnnounced = false;
    while (!isAnnounced && std::chrono::steady_clock::now() < end) {
        try {
            inbound.announceTarget();
            isAnnounced = true;
        } catch (const std::runtime_error &) { // the process does not listen yet
            std::this_thread::sleep_for(Milliseconds(50));
        }
    }
    REQUIRE(isAnnounced);
    REQUIRE(answersOrdinaryRequest());
}

bool OverloadDeployment::answersOrdinaryRequest() const
{
    static int number = 0;
    const auto end = std::chrono::steady_clock::now() + convergenceLimit;
    while (std::chrono::steady_clock::now() < end) {
        try {
            const CrowdClient client(callers.callersPort());
            client.send(absl::StrCat("GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Dandeliondock-Attempt-Id: ordinary", ++number,
                                     "\r\nConnection: close\r\n\r\n"));
            if (absl::StartsWith(client.readAll(), "HTTP/1.1 200"))
                return true;
        } catch (const std::runtime_error &) { // refused connections are tried again
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
}

void OverloadDeployment::checkUsage(const std::string &title) const
{
    for (const ProxyProcess *proxy : {&callers, &inbound}) {
        const ProcessUsage usage = usageOf(proxy->process());
        const std::string role = proxy == &callers ? "callers' proxy" : "target's proxy";
        std::cout << title << ": " << role << ": running=" << usage.isRunning << " VmHWM=" << usage.peakBytes
                  << " VmRSS=" << usage.residentBytes << " descriptors=" << usage.descriptors
                  << " cpu_s=" << usage.cpuSeconds << std::endl;
        INFO(role);
        CHECK(usage.isRunning);
        CHECK(usage.peakBytes <= memoryLimit);
        CHECK(usage.residentBytes <= memoryLimit);
        CHECK(usage.descriptors <= descriptorLimit);
    }
}

std::string uploadHead(const std::string &path, const std::string &headerLines)
{
    static std::atomic<int> number{0};
    return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\nX-Dandeliondock-Attempt-Id: upload", ++number, "\r\n",
                        headerLines, "\r\n");
}

} // namespace dandeliondock::testing
