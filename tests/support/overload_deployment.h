#pragma once

#include "support/child_process.h"
#include "support/fake_store.h"
#include "support/loop_thread.h"

#include <dandeliondock/http/async_server.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dandeliondock::testing {

/// \brief Memory and descriptors of a process, from /proc.
struct ProcessUsage
{
    bool isRunning = false;
    std::uint64_t peakBytes = 0;     ///< VmHWM
    std::uint64_t residentBytes = 0; ///< VmRSS
    std::size_t descriptors = 0;
    double cpuSeconds = 0;
};

[[nodiscard]] ProcessUsage usageOf(const ChildProcess &process);

/// \brief Target on the loopback interface. It responds to /a/large with largeResponseSize bytes, to /a/slow after
/// slowWorkTime, to /a/delay after shortWorkTime, and to every other request at once.
///
/// The first attempt of a request to /a/fail gets status 500 with failureSize bytes, that of one to /a/busy status 503
/// with the statement that it was not executed, after shortWorkTime. All later attempts, also at other targets of this
/// test process, get status 200 after slowWorkTime.
class OverloadTarget
{
public:
    static constexpr std::size_t largeResponseSize = 8'388'608;
    static constexpr std::size_t failureSize = 8'388'608;
    static constexpr Milliseconds slowWorkTime{1'500};
    static constexpr Milliseconds shortWorkTime{20};

    OverloadTarget();
    ~OverloadTarget();
    OverloadTarget(const OverloadTarget &) = delete;
    OverloadTarget &operator=(const OverloadTarget &) = delete;

    [[nodiscard]] Address address() const;

    std::atomic<std::size_t> longestBody{0}; ///< of the requests that were executed

private:
    void handle(const HttpRequestContextPtr &context);
    void respondAfter(Milliseconds time, const HttpRequestContextPtr &context, HttpResponse response);

    std::uint16_t m_port;
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
    std::vector<LoopTimer> m_timers;
};

/// \brief A process of dandeliondock-proxy with its target.
class ProxyProcess
{
public:
    /// \param otherTarget address of the target in the settings; empty for that of \c target.
    ProxyProcess(const std::string &name, const Address &store, const Address &otherTarget = {});

    /// \brief Sends a heartbeat in the name of the target.
    void announceTarget() const;

    [[nodiscard]] std::uint16_t callersPort() const { return m_callersPort; }
    [[nodiscard]] std::uint16_t inboundPort() const { return m_inboundPort; }
    [[nodiscard]] std::uint16_t announcementsPort() const { return m_announcementsPort; }
    /// \brief Ports of all listeners: callers, inbound, health, announcements and metrics.
    [[nodiscard]] std::vector<std::uint16_t> ports() const;
    [[nodiscard]] const ChildProcess &process() const { return m_process; }

    OverloadTarget target;

private:
    std::string m_name;
    Address m_target;
    std::uint16_t m_callersPort;
    std::uint16_t m_inboundPort;
    std::uint16_t m_healthPort;
    std::uint16_t m_announcementsPort;
    std::uint16_t m_metricsPort;
    ChildProcess m_process;
};

/// \brief Two proxies: the callers' one, whose target is never announced, and the one beside the target. Their limits
/// are lowered, so that few clients reach them.
class OverloadDeployment
{
public:
    static constexpr std::uint64_t memoryLimit = 64'000'000; ///< "memory_mb" of both proxies, in bytes
    static constexpr std::size_t descriptorLimit = 256;      ///< "max_fds" of both proxies
    static constexpr std::size_t maxHeaderBytes = 16'384;    ///< of the operator's configuration
    static constexpr std::size_t maxBodyBytes = 16'777'216;  ///< of the operator's configuration
    static constexpr std::chrono::seconds convergenceLimit{20};

    /// \param otherTarget address of the target beside the inbound proxy; empty for inbound.target.
    explicit OverloadDeployment(const Address &otherTarget = {});

    /// \brief Sends requests until one is answered with status 200; returns false if none is within convergenceLimit.
    [[nodiscard]] bool answersOrdinaryRequest() const;

    /// \brief Checks that both proxies run, and that their memory and descriptors are within their settings. Prints the
    /// figures.
    void checkUsage(const std::string &title) const;

    FakeStore store;
    ProxyProcess callers;
    ProxyProcess inbound;
};

/// \brief Returns the head of an upload to the deployment with the given header lines, each with its line break.
[[nodiscard]] std::string uploadHead(const std::string &path, const std::string &headerLines);

} // namespace dandeliondock::testing
