#include <dandeliondock/node/operator_client.h>

#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/node/operator_api.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

namespace dandeliondock {

namespace {

// The node's message already ends in the remedy, which makeError() adds again.
absl::Status decodeRefusal(const HttpResponse &response)
{
    wire::Refusal refusal;
    const absl::Status parsed = parseJson(response.body, ErrorKind::InvalidMessage, "the node's refusal", refusal);
    if (!parsed.ok())
        return makeError(ErrorKind::InvalidMessage, absl::StrCat("the node answered ", response.status));
    const ErrorKind kind = errorKindNamed(refusal.kind());
    absl::string_view detail = refusal.message();
    absl::ConsumeSuffix(&detail, absl::StrCat("; ", errorRemedy(kind)));
    if (kind == ErrorKind::None)
        return makeError(ErrorKind::InvalidMessage, absl::StrCat("the node answered ", response.status));
    return makeError(kind, detail);
}

template <typename Message>
absl::StatusOr<Message> decodeAnswer(const SendResult &result)
{
    if (!result.response.ok())
        return result.response.status();
    if (result.response->status != 200)
        return decodeRefusal(*result.response);
    Message message;
    const absl::Status status =
            parseJson(result.response->body, ErrorKind::InvalidMessage, "the node's answer", message);
    if (!status.ok())
        return status;
    return message;
}

absl::Status unknownOutcome(const absl::Status &cause)
{
    return makeError(ErrorKind::OutcomeUnknown, absl::StrCat("the node's answer was lost: ", errorDetail(cause)));
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
    // Any other refusal speaks of the second filing only; the first one can still take effect.
    const bool settled = second.ok() || errorKind(second.status()) == ErrorKind::TicketNumberUsed;
    return settled ? second : first;
}

absl::StatusOr<wire::TicketFiled> OperatorClient::fileOnce(const std::string &json) const
{
    const SendResult result = send("POST", "/tickets", json);
    if (!result.response.ok() && result.maybeSent)
        return unknownOutcome(result.response.status());
    absl::StatusOr<wire::TicketFiled> filed = decodeAnswer<wire::TicketFiled>(result);
    if (errorKind(filed.status()) == ErrorKind::InvalidMessage && result.response->status >= 200
        && result.response->status != 400)
        return unknownOutcome(filed.status());
    return filed;
}

absl::StatusOr<wire::TicketStatus> OperatorClient::show(TicketNumber number) const
{
    return decodeAnswer<wire::TicketStatus>(send("GET", absl::StrCat("/tickets/", number.value()), {}));
}

absl::StatusOr<wire::TicketList> OperatorClient::list(TicketNumber from, std::uint32_t limit) const
{
    return decodeAnswer<wire::TicketList>(
            send("GET", absl::StrCat("/tickets?from=", from.value(), "&limit=", limit), {}));
}

absl::StatusOr<wire::NodeStatus> OperatorClient::status() const
{
    return decodeAnswer<wire::NodeStatus>(send("GET", "/status", {}));
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
    return m_client->send(m_node, request, options);
}

} // namespace dandeliondock
