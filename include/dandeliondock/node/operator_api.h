#pragma once

#include <dandeliondock/config/ticket.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/http/message.h>
#include <dandeliondock/tickets/filing.h>
#include <dandeliondock/tickets/ticket_status.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <status.pb.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief Header that carries the operators' key.
inline constexpr const char *operatorKeyHeader = "X-Operator-Key";

/// \brief Hooks through which the operators' API uses its node. Every hook must be set, except that \c log may be null,
/// and must be callable from any thread.
struct OperatorHooks
{
    std::function<absl::StatusOr<FiledTicket>(const Ticket &)> file;
    std::function<absl::StatusOr<Revision>(TicketNumber)> accepted;
    /// Returns accepted tickets in the order of their numbers, beginning at a number, up to a limit.
    std::function<absl::StatusOr<std::vector<Revision>>(TicketNumber, std::size_t)> list;
    /// Returns the acknowledged revision, the rollouts of the tickets, whether the store responds, and the current
    /// time.
    std::function<TicketStatusInput(const std::vector<TicketNumber> &)> statusInput;
    std::function<wire::NodeStatus()> status;
    std::function<std::string()> metricsText;
    std::function<bool(absl::string_view)> keyMatches;
    LogSink log;
};

/// \brief Handles the HTTP requests of operators: tickets, status and metrics.
///
/// \remark Every method is thread-safe.
class OperatorApi
{
public:
    explicit OperatorApi(OperatorHooks hooks);

    [[nodiscard]] HttpResponse serve(const HttpRequest &request) const;

private:
    [[nodiscard]] HttpResponse serveTickets(const HttpRequest &request, absl::string_view rest) const;
    [[nodiscard]] HttpResponse fileTicket(const std::string &body) const;
    [[nodiscard]] HttpResponse showTicket(absl::string_view number) const;
    [[nodiscard]] HttpResponse listTickets(absl::string_view query) const;

    OperatorHooks m_hooks;
};

/// \brief Whether two keys are equal; the run time does not depend on where they differ. Thread-safe.
[[nodiscard]] bool equalInConstantTime(absl::string_view left, absl::string_view right) noexcept;

/// \brief Returns an error as a JSON response with the HTTP status of its kind. Thread-safe.
/// \pre \c status is not OK.
[[nodiscard]] HttpResponse refusalResponse(const absl::Status &status);

} // namespace dandeliondock
