#include <dandeliondock/store/http_store.h>

#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <store.pb.h>

#include <algorithm>

namespace dandeliondock {

namespace {

struct Connection
{
    std::shared_ptr<HttpClient> client;
    Address address;
    Milliseconds timeout;

    [[nodiscard]] SendResult send(absl::string_view method, absl::string_view path, std::string body) const
    {
        HttpRequest request;
        request.method = std::string(method);
        request.target = std::string(path);
        request.body = std::move(body);
        SendOptions options;
        options.timeout = timeout;
        return client->send(address, request, options);
    }
};

absl::Status storeUnavailable(absl::string_view detail)
{
    return makeError(ErrorKind::StoreUnavailable, detail);
}

// A failed read changed nothing, whatever the cause, so every error is StoreUnavailable.
absl::StatusOr<std::string> readBody(const SendResult &result)
{
    if (!result.response.ok())
        return storeUnavailable(errorDetail(result.response.status()));
    if (result.response->status != 200)
        return storeUnavailable(absl::StrCat("the store answered ", result.response->status));
    return result.response->body;
}

absl::StatusOr<std::string> objectBody(const SendResult &result)
{
    if (result.response.ok() && result.response->status == 404)
        return makeError(ErrorKind::NotFound, "the store has no such object");
    return readBody(result);
}

// A write whose response was lost may have taken effect.
absl::StatusOr<std::string> writeBody(const SendResult &result)
{
    if (!result.response.ok() && !result.maybeSent)
        return storeUnavailable(errorDetail(result.response.status()));
    if (!result.response.ok())
        return makeError(ErrorKind::OutcomeUnknown, errorDetail(result.response.status()));
    if (result.response->status == 429 || result.response->status == 503)
        return storeUnavailable(absl::StrCat("the store answered ", result.response->status));
    if (result.response->status != 200)
        return makeError(ErrorKind::OutcomeUnknown, absl::StrCat("the store answered ", result.response->status));
    return result.response->body;
}

absl::StatusOr<std::vector<TableRow>> decodeRows(const absl::StatusOr<std::string> &body)
{
    if (!body.ok())
        return body.status();
    const auto response = parseMessage<wire::ReadAnswer>(*body, ErrorKind::InvalidRow, "the store's answer");
    if (!response.ok())
        return response.status();
    std::vector<TableRow> rows;
    for (const wire::TableRow &row : response->rows())
        rows.push_back({RowKey(row.key()), RowVersion(row.version()), row.value()});
    return rows;
}

absl::Status invalidResponse(absl::string_view reason)
{
    return makeError(ErrorKind::InvalidRow, absl::StrCat("the store's answer: ", reason));
}

absl::Status checkRead(const std::vector<TableRow> &rows, const std::vector<RowKey> &keys)
{
    if (rows.size() != keys.size())
        return invalidResponse(absl::StrCat(rows.size(), " rows instead of ", keys.size()));
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (rows[i].key != keys[i])
            return invalidResponse(absl::StrCat("row ", rows[i].key.value(), " in the place of ", keys[i].value()));
        if (rows[i].version == RowVersion{} && !rows[i].value.empty())
            return invalidResponse(absl::StrCat("row ", rows[i].key.value(), " has a value but no version"));
    }
    return absl::OkStatus();
}

absl::Status checkScan(const std::vector<TableRow> &rows, const ScanRange &range)
{
    if (rows.size() > range.limit)
        return invalidResponse(absl::StrCat(rows.size(), " rows, more than the limit ", range.limit));
    const TableRow *previous = nullptr;
    for (const TableRow &row : rows) {
        const std::string &key = row.key.value();
        if (!absl::StartsWith(key, range.prefix) || key < range.from)
            return invalidResponse(absl::StrCat("row ", key, " is outside the range"));
        if (row.version == RowVersion{})
            return invalidResponse(absl::StrCat("row ", key, " has no version"));
        if (previous != nullptr && previous->key >= row.key)
            return invalidResponse(absl::StrCat("row ", key, " is out of order"));
        previous = &row;
    }
    return absl::OkStatus();
}

absl::StatusOr<std::vector<TableRow>> readRows(const Connection &connection, const std::vector<RowKey> &keys)
{
    wire::ReadRequest request;
    for (const RowKey &key : keys)
        request.add_keys(key.value());
    absl::StatusOr<std::vector<TableRow>> rows =
            decodeRows(readBody(connection.send("POST", "/table/read", request.SerializeAsString())));
    if (!rows.ok())
        return rows;
    if (absl::Status status = checkRead(*rows, keys); !status.ok())
        return status;
    return rows;
}

absl::StatusOr<std::vector<TableRow>> scanRows(const Connection &connection, const ScanRange &range)
{
    wire::ReadRequest request;
    request.set_prefix(range.prefix);
    request.set_from(range.from);
    request.set_limit(static_cast<std::uint32_t>(range.limit));
    absl::StatusOr<std::vector<TableRow>> rows =
            decodeRows(readBody(connection.send("POST", "/table/scan", request.SerializeAsString())));
    if (!rows.ok())
        return rows;
    if (absl::Status status = checkScan(*rows, range); !status.ok())
        return status;
    return rows;
}

wire::CommitRequest encodeTransaction(const Transaction &transaction)
{
    wire::CommitRequest request;
    for (const RowCondition &condition : transaction.conditions) {
        wire::RowCondition *message = request.add_conditions();
        message->set_key(condition.key.value());
        message->set_version(condition.version.value());
    }
    for (const RowWrite &write : transaction.writes) {
        wire::RowWrite *message = request.add_writes();
        message->set_key(write.key.value());
        message->set_value(write.value.value_or(""));
        message->set_remove(!write.value);
    }
    return request;
}

// An empty or truncated response parses as "not committed, no key" and must not be taken for a failed condition.
bool isPlausible(const wire::CommitAnswer &response, const Transaction &transaction)
{
    if (response.committed())
        return response.failed_key().empty();
    return std::any_of(transaction.conditions.begin(), transaction.conditions.end(),
                       [&](const RowCondition &condition) { return condition.key.value() == response.failed_key(); });
}

absl::StatusOr<CommitResult> commitRows(const Connection &connection, const Transaction &transaction)
{
    const std::string body = encodeTransaction(transaction).SerializeAsString();
    const absl::StatusOr<std::string> responseBody = writeBody(connection.send("POST", "/table/commit", body));
    if (!responseBody.ok())
        return responseBody.status();
    const auto response =
            parseMessage<wire::CommitAnswer>(*responseBody, ErrorKind::OutcomeUnknown, "the store's answer");
    if (!response.ok())
        return response.status();
    if (!isPlausible(*response, transaction))
        return makeError(ErrorKind::OutcomeUnknown, "the store's answer names neither success nor a failed condition");
    return CommitResult{response->committed(), RowKey(response->failed_key())};
}

} // namespace

StoreHooks makeHttpStore(std::shared_ptr<HttpClient> client, Address address, Milliseconds timeout)
{
    const Connection connection{std::move(client), std::move(address), timeout};
    StoreHooks hooks;
    hooks.read = [connection](const std::vector<RowKey> &keys) { return readRows(connection, keys); };
    hooks.scan = [connection](const ScanRange &range) { return scanRows(connection, range); };
    hooks.commit = [connection](const Transaction &transaction) { return commitRows(connection, transaction); };
    hooks.putObject = [connection](const std::string &name, const std::string &content) {
        return writeBody(connection.send("PUT", absl::StrCat("/objects/", name), content)).status();
    };
    hooks.fetchObject = [connection](const std::string &name) {
        return objectBody(connection.send("GET", absl::StrCat("/objects/", name), {}));
    };
    return hooks;
}

} // namespace dandeliondock
