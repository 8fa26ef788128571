#pragma once

#include <dandeliondock/config/ticket.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/http/client.h>

#include <absl/status/statusor.h>

#include <status.pb.h>
#include <tickets.pb.h>

#include <cstdint>
#include <memory>
#include <string>

namespace dandeliondock {

/// \brief Client of the operators' listener of a node.
///
/// \remark Every method is thread-safe. When the node refuses a request, the returned error has the kind that the node
/// gave.
class OperatorClient
{
public:
    OperatorClient(std::shared_ptr<HttpClient> client, Address node, std::string key, Milliseconds timeout);

    /// \brief Files a ticket from its JSON text. When the response is lost, files it once more; the node then returns
    /// the result of the first filing if that was accepted.
    ///
    /// \return OutcomeUnknown when the ticket may have been accepted.
    [[nodiscard]] absl::StatusOr<wire::TicketFiled> file(const std::string &json) const;

    [[nodiscard]] absl::StatusOr<wire::TicketStatus> show(TicketNumber number) const;

    /// \brief Returns up to \c limit tickets in the order of their numbers, beginning at \c from.
    [[nodiscard]] absl::StatusOr<wire::TicketList> list(TicketNumber from, std::uint32_t limit) const;

    [[nodiscard]] absl::StatusOr<wire::NodeStatus> status() const;

private:
    [[nodiscard]] absl::StatusOr<wire::TicketFiled> fileOnce(const std::string &json) const;
    [[nodiscard]] SendResult send(const std::string &method, const std::string &target, const std::string &body) const;

    std::shared_ptr<HttpClient> m_client;
    Address m_node;
    std::string m_key;
    Milliseconds m_timeout;
};

} // namespace dandeliondock
