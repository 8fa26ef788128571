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

/// \brief Target on the loopback interface. It responds to /a/large with largeResponseSize bytes and to /a/slow after
/// slowWorkTime, and to every other request at once.
class OverloadTarget
{
public:
    static constexpr std::size_t largeResponseSize = 8'388'608;
    static constexpr Milliseconds slowWorkTime{1'500};

    OverloadTarget();
    ~OverloadTarget();
    OverloadTarget(const OverloadTarget &) = delete;
    OverloadTarget &operator=(const OverloadTarget &) = delete;

    [[nodiscard]] Address address() const;

    std::atomic<std::size_t> longestBody{0}; ///< of the requests that were executed

private:
    void handle(const HttpRequestContextPtr &context);

    std::uint16_t m_port;
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
    std::vector<LoopTimer> m_timers;
};

/// \brief A process of dandeliondock-proxy with its target.
class ProxyProcess
{
public:
    ProxyProcess(const std::string &name, const Address &store);

    /// \brief Sends a heartbeat in the name of the target.
    void announceTarget() const;

    [[nodiscard]] std::uint16_t callersPort() const { return m_callersPort; }
    [[nodiscard]] std::uint16_t inboundPort() const { return m_inboundPort; }
    [[nodiscard]] const ChildProcess &process() const { return m_process; }

    OverloadTarget target;

private:
    std::string m_name;
    std::uint16_t m_callersPort;
    std::uint16_t m_inboundPort;
    std::uint16_t m_announcementsPort;
    ChildProcess m_process;
};

/// \brief Two proxies: the callers' one, whose target is never announced, and the one beside the target. Their limits
/// are lowered, so that few clients reach them.
class OverloadDeployment
{
public:
    static constexpr std::uint64_t memoryLimit = 64'000'000; ///< "memory_mb" of both proxies, in bytes
    static constexpr std::size_t descriptorLimit = 256;      ///< "max_fds" of both proxies
    static constexpr std::size_t maxBodyBytes = 16'777'216;  ///< of the operator's configuration
    static constexpr std::chrono::seconds convergenceLimit{20};

    OverloadDeployment();

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
