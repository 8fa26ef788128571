#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/proxy/header_names.h>
#include <dandeliondock/proxy/operator_documents.h>
#include <dandeliondock/proxy/proxy_settings.h>
#include <dandeliondock/proxy/target_messages.h>
#include <dandeliondock/store/async_table.h>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace dandeliondock {

/// \brief Adapter between a proxy and the platform that it runs on.
struct PlatformAdapter
{
    HeaderNames headerNames;
    TargetMessageReader readTargetMessage;
    OperatorTableCodec documents;
    /// Creates the hooks that access the platform's table through an HTTP client.
    std::function<AsyncTableHooks(AsyncHttpClient &, const Address &store)> table;
};

/// \brief The proxy on a target's instance: forwards requests of local callers, admits requests for the local target,
/// follows the configuration and takes part in rollouts.
///
/// \remark start() and stop() must be called from the same thread.
class Proxy
{
public:
    /// \brief Starts the duties; returns InvalidSettings when a listener cannot be opened.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<Proxy>> start(const ProxySettings &settings,
                                                                      PlatformAdapter adapter, LogSink log);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    /// \brief Drains and stops: reports not ready, then waits until callers have disconnected and requests have ended,
    /// at most for the grace time. Blocks until the duties have stopped; a second call does nothing.
    void stop();

private:
    class Impl;

    explicit Proxy(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace dandeliondock
