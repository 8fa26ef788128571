#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/settings/node_settings.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>

namespace dandeliondock {

/// \brief A node, the process that runs beside a target: its listeners and the threads of its duties.
///
/// \remark Every method is thread-safe.
class Node : public std::enable_shared_from_this<Node>
{
public:
    /// \brief Opens the listeners and starts the threads; returns an error when a listener cannot be opened.
    [[nodiscard]] static absl::StatusOr<std::shared_ptr<Node>> start(NodeSettings settings, LogSink log);

    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// \brief Shuts down gracefully: stops accepting connections, completes requests in progress, stops every thread.
    void stop();

private:
    struct Impl;
    explicit Node(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace dandeliondock
