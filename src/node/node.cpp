#include <dandeliondock/node/node.h>

#include "node_components.h"

#include <mutex>
#include <utility>

namespace dandeliondock {

struct Node::Impl
{
    Impl(NodeSettings settings, LogSink log) : components(std::move(settings), std::move(log)) {}

    impl::NodeComponents components;
    std::once_flag stopped;
};

Node::Node(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Node::~Node()
{
    stop();
}

absl::StatusOr<std::shared_ptr<Node>> Node::start(NodeSettings settings, LogSink log)
{
    auto impl = std::make_unique<Impl>(std::move(settings), std::move(log));
    impl::NodeComponents &components = impl->components;
    if (absl::Status status = components.start(); !status.ok())
        return status;
    LogEvent(LogLevel::Info, "node.started")
            .field("node", components.settings.node)
            .field("callers_port", components.ingress->port())
            .field("operators_port", components.operatorServer->port())
            .write(components.log);
    return std::shared_ptr<Node>(new Node(std::move(impl)));
}

void Node::stop()
{
    std::call_once(m_impl->stopped, [this] {
        LogEvent(LogLevel::Info, "node.stopping").write(m_impl->components.log);
        const bool drained = m_impl->components.stop();
        LogEvent(LogLevel::Info, "node.stopped").field("drained", drained).write(m_impl->components.log);
    });
}

} // namespace dandeliondock
