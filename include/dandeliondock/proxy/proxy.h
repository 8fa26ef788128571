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

/// \brief How a proxy meets the platform that it runs on.
struct PlatformAdapter
{
    HeaderNames protocol;
    TargetMessageReader readTargetMessage;
    OperatorTableCodec documents;
    /// Makes the table's hooks on a loop's client.
    std::function<AsyncTableHooks(AsyncHttpClient &, const Address &store)> table;
};

/// \brief The process beside a target: callers' requests in, the door to the target, configuration and rollouts.
///
/// \remark start() and stop() are to be called by one thread.
class Proxy
{
public:
    /// \brief Starts the duties; InvalidSettings when a listener cannot be opened.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<Proxy>> start(const ProxySettings &settings,
                                                                      PlatformAdapter adapter, LogSink log);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    /// \brief Ends without cutting a request: says that it is not ready, waits until callers have left and requests
    /// have ended, at most the grace time.
    void stop();

private:
    class Impl;

    explicit Proxy(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace dandeliondock
