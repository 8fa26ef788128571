#include <dandeliondock/node/operator_client.h>

#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/node/operator_api.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

namespace dandeliondock {

namespace {

// A list has at most 1,000 tickets, which leaves 16 KiB for the status of each.
constexpr ByteCount maxResponseBytes{16U << 20U};

// Removes the remedy from the end of the node's message, because makeError() appends it again.
absl::Status decodeRefusal(const HttpResponse &response)
{
    wire::Refusal refusal;
    const absl::Status parsed = parseJson(response.body, ErrorKind::InvalidMessage, "the node's refusal", refusal);
    if (!parsed.ok())
        return makeError(ErrorKind::InvalidMessage, absl::StrCat("the node responded with status ", response.status));
    const ErrorKind kind = errorKindFromName(refusal.kind());
    absl::string_view detail = refusal.message();
    absl::ConsumeSuffix(&detail, absl::StrCat("; ", errorRemedy(kind)));
    if (kind == ErrorKind::None)
        return makeError(ErrorKind::InvalidMessage, absl::StrCat("the node responded with status ", response.status));
    return makeError(kind, detail);
}

template <typename Message>
absl::StatusOr<Message> decodeResponse(const SendResult &result)
{
    if (!result.response.ok())
        return result.response.status();
    if (result.response->status != 200)
        return decodeRefusal(*result.response);
    Message message;
    const absl::Status status =
            parseJson(result.response->body, ErrorKind::InvalidMessage, "the node's response", message);
    if (!status.ok())
        return status;
    return message;
}

absl::Status outcomeUnknownError(const absl::Status &cause)
{
    return makeError(ErrorKind::OutcomeUnknown, absl::StrCat("the node's response was lost: ", errorDetail(cause)));
}

} // namespace

OperatorClient::OperatorClient(std::shared_ptr<HttpClient> client, Address node, std::string key, Milliseconds timeout)
    : m_client(std::move(client)), m_node(std::move(node)), m_key(std::move(key)), m_timeout(timeout)
{
}

absl::StatusOr<wire::TicketFiled> OperatorClient::file(const std::string &json) const
{
    absl::StatusOr<wire::TicketFiled> first = fileOnce(json);
    if (errorKind(first.status()) != ErrorKind::OutcomeUnknown)
        return first;
    absl::StatusOr<wire::TicketFiled> second = fileOnce(json);
    // Any other error of the second filing says nothing about the first one, which may still take effect.
    const bool isDecided = second.ok() || errorKind(second.status()) == ErrorKind::TicketNumberUsed;
    return isDecided ? second : first;
}

absl::StatusOr<wire::TicketFiled> OperatorClient::fileOnce(const std::string &json) const
{
    const SendResult result = send("POST", "/tickets", json);
    if (!result.response.ok() && result.maybeSent)
        return outcomeUnknownError(result.response.status());
    absl::StatusOr<wire::TicketFiled> filed = decodeResponse<wire::TicketFiled>(result);
    if (errorKind(filed.status()) == ErrorKind::InvalidMessage && result.response->status >= 200
        && result.response->status != 400)
        return outcomeUnknownError(filed.status());
    return filed;
}

absl::StatusOr<wire::TicketStatus> OperatorClient::show(TicketNumber number) const
{
    return decodeResponse<wire::TicketStatus>(send("GET", absl::StrCat("/tickets/", number.value()), {}));
}

absl::StatusOr<wire::TicketList> OperatorClient::list(TicketNumber from, std::uint32_t limit) const
{
    return decodeResponse<wire::TicketList>(
            send("GET", absl::StrCat("/tickets?from=", from.value(), "&limit=", limit), {}));
}

absl::StatusOr<wire::NodeStatus> OperatorClient::status() const
{
    return decodeResponse<wire::NodeStatus>(send("GET", "/status", {}));
}

SendResult OperatorClient::send(const std::string &method, const std::string &target, const std::string &body) const
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers.add(operatorKeyHeader, m_key);
    request.body = body;
    SendOptions options;
    options.timeout = m_timeout;
    options.responseLimit = maxResponseBytes;
    return m_client->send(m_node, request, options);
}

} // namespace dandeliondock
