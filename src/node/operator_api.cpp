#include <dandeliondock/node/operator_api.h>

#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/codec/ticket_codec.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::size_t defaultListLimit = 100;
constexpr std::size_t maxListLimit = 1'000;

int httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidTicket:
    case ErrorKind::InvalidMessage:
        return 400;
    case ErrorKind::NotAuthorised:
        return 401;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::TicketNumberUsed:
    case ErrorKind::TicketSuperseded:
    case ErrorKind::UnresolvedReference:
    case ErrorKind::HeadContended:
        return 409;
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::MayHaveRun:
    case ErrorKind::Truncated:
        return 502;
    case ErrorKind::DeadlineExceeded:
        return 504;
    default:
        return 503;
    }
}

HttpResponse jsonResponse(const google::protobuf::Message &message)
{
    HttpResponse response;
    response.headers.add("Content-Type", "application/json");
    response.body = printJson(message);
    return response;
}

HttpResponse textResponse(std::string text)
{
    HttpResponse response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = std::move(text);
    return response;
}

struct ListRange
{
    std::uint64_t from = 0;
    std::uint64_t limit = defaultListLimit;
};

absl::StatusOr<ListRange> parseListRange(absl::string_view query)
{
    ListRange range;
    for (const absl::string_view parameter : absl::StrSplit(query, '&', absl::SkipEmpty())) {
        absl::string_view value = parameter;
        const bool isValid = (absl::ConsumePrefix(&value, "from=") && absl::SimpleAtoi(value, &range.from))
                             || (absl::ConsumePrefix(&value, "limit=") && absl::SimpleAtoi(value, &range.limit));
        if (!isValid)
            return makeError(ErrorKind::InvalidMessage, absl::StrCat("give from=N and limit=N instead of ", parameter));
    }
    range.limit = std::clamp<std::uint64_t>(range.limit, 1, maxListLimit);
    return range;
}

} // namespace

bool equalInConstantTime(absl::string_view left, absl::string_view right) noexcept
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t i = 0; i < left.size(); ++i) {
        const char rightByte = right.empty() ? '\0' : right[i % right.size()];
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(rightByte);
    }
    return difference == 0;
}

HttpResponse refusalResponse(const absl::Status &status)
{
    wire::Refusal message;
    message.set_kind(std::string(errorKindName(errorKind(status))));
    message.set_message(std::string(status.message()));
    HttpResponse response = jsonResponse(message);
    response.status = httpStatus(errorKind(status));
    return response;
}

OperatorApi::OperatorApi(OperatorHooks hooks) : m_hooks(std::move(hooks)) {}

HttpResponse OperatorApi::serve(const HttpRequest &request) const
{
    if (!m_hooks.keyMatches(request.headers.first(operatorKeyHeader).value_or("")))
        return refusalResponse(makeError(ErrorKind::NotAuthorised, "the operators' key is missing or wrong"));
    absl::string_view rest = request.target;
    if (absl::ConsumePrefix(&rest, "/tickets"))
        return serveTickets(request, rest);
    if (request.method == "GET" && request.target == "/status")
        return jsonResponse(m_hooks.status());
    if (request.method == "GET" && request.target == "/metrics")
        return textResponse(m_hooks.metricsText());
    return refusalResponse(makeError(ErrorKind::NotFound, absl::StrCat(request.method, " ", request.target)));
}

HttpResponse OperatorApi::serveTickets(const HttpRequest &request, absl::string_view rest) const
{
    if (request.method == "POST" && rest.empty())
        return fileTicket(request.body);
    if (request.method == "GET" && absl::ConsumePrefix(&rest, "/"))
        return showTicket(rest);
    if (request.method == "GET" && (rest.empty() || absl::ConsumePrefix(&rest, "?")))
        return listTickets(rest);
    return refusalResponse(makeError(ErrorKind::NotFound, absl::StrCat(request.method, " ", request.target)));
}

HttpResponse OperatorApi::fileTicket(const std::string &body) const
{
    const absl::StatusOr<Ticket> ticket = parseTicket(body);
    if (!ticket.ok())
        return refusalResponse(ticket.status());
    const absl::StatusOr<FiledTicket> filed = m_hooks.file(*ticket);
    if (!filed.ok()) {
        LogEvent(LogLevel::Warn, "ticket.refused")
                .field("ticket", ticket->number)
                .field("author", ticket->author)
                .error(filed.status())
                .write(m_hooks.log);
        return refusalResponse(filed.status());
    }
    wire::TicketFiled message;
    message.set_number(ticket->number.value());
    message.set_revision(filed->revision.value());
    message.set_repeated(filed->alreadyAccepted);
    LogEvent(LogLevel::Info, "ticket.accepted")
            .field("ticket", ticket->number)
            .field("revision", filed->revision)
            .field("author", ticket->author)
            .field("repeated", filed->alreadyAccepted)
            .write(m_hooks.log);
    return jsonResponse(message);
}

HttpResponse OperatorApi::showTicket(absl::string_view number) const
{
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(number, &value) || value == 0)
        return refusalResponse(makeError(ErrorKind::NotFound, absl::StrCat("no ticket number: ", number)));
    const absl::StatusOr<Revision> accepted = m_hooks.accepted(TicketNumber(value));
    if (!accepted.ok())
        return refusalResponse(accepted.status());
    return jsonResponse(
            encodeTicketStatus(*accepted, ticketStatus(*accepted, m_hooks.statusInput({accepted->ticket.number}))));
}

HttpResponse OperatorApi::listTickets(absl::string_view query) const
{
    const absl::StatusOr<ListRange> range = parseListRange(query);
    if (!range.ok())
        return refusalResponse(range.status());
    const absl::StatusOr<std::vector<Revision>> tickets = m_hooks.list(TicketNumber(range->from), range->limit);
    if (!tickets.ok())
        return refusalResponse(tickets.status());
    std::vector<TicketNumber> numbers;
    for (const Revision &accepted : *tickets)
        numbers.push_back(accepted.ticket.number);
    const TicketStatusInput input = m_hooks.statusInput(numbers);
    wire::TicketList message;
    for (const Revision &accepted : *tickets)
        *message.add_tickets() = encodeTicketStatus(accepted, ticketStatus(accepted, input));
    return jsonResponse(message);
}

} // namespace dandeliondock
