#include "platform_server.h"

#include <dandeliondock/codec/bytes.h>

#include <absl/strings/match.h>
#include <absl/strings/strip.h>

#include <store.pb.h>

namespace dandeliondock::standins {

namespace {

constexpr ByteCount maxBody{64U << 20U};

HttpResponse answer(int status, std::string body = {})
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

HttpResponse answerRows(const std::vector<TableRow> &rows)
{
    wire::ReadAnswer message;
    for (const TableRow &row : rows) {
        wire::TableRow *entry = message.add_rows();
        entry->set_key(row.key.value());
        entry->set_version(row.version.value());
        entry->set_value(row.value);
    }
    return answer(200, message.SerializeAsString());
}

HttpResponse serveRead(const MemoryTable &table, const std::string &body)
{
    wire::ReadRequest request;
    if (!request.ParseFromString(body))
        return answer(400);
    std::vector<RowKey> keys;
    for (const std::string &key : request.keys())
        keys.emplace_back(key);
    return answerRows(table.read(keys));
}

HttpResponse serveScan(const MemoryTable &table, const std::string &body)
{
    wire::ReadRequest request;
    if (!request.ParseFromString(body))
        return answer(400);
    return answerRows(table.scan({request.prefix(), request.from(), request.limit()}));
}

HttpResponse serveCommit(MemoryTable &table, const std::string &body)
{
    wire::CommitRequest request;
    if (!request.ParseFromString(body))
        return answer(400);
    Transaction transaction;
    for (const wire::RowCondition &condition : request.conditions())
        transaction.conditions.push_back({RowKey(condition.key()), RowVersion(condition.version())});
    for (const wire::RowWrite &write : request.writes()) {
        std::optional<std::string> value;
        if (!write.remove())
            value = write.value();
        transaction.writes.push_back({RowKey(write.key()), value});
    }
    const CommitResult result = table.commit(transaction);
    wire::CommitAnswer message;
    message.set_committed(result.committed);
    message.set_failed_key(result.failedKey.value());
    return answer(200, message.SerializeAsString());
}

} // namespace

absl::StatusOr<std::unique_ptr<PlatformServer>> PlatformServer::start(const std::string &address, std::uint16_t port)
{
    auto platform = std::make_unique<PlatformServer>();
    PlatformServer *self = platform.get();
    auto server = HttpServerBuilder()
                          .listen(address, port)
                          .maxBody(maxBody)
                          .handler([self](const HttpRequest &request) { return self->serve(request); })
                          .start();
    if (!server.ok())
        return server.status();
    platform->m_server = *std::move(server);
    return platform;
}

HttpResponse PlatformServer::serve(const HttpRequest &request)
{
    if (request.target == "/table/read")
        return serveRead(m_table, request.body);
    if (request.target == "/table/scan")
        return serveScan(m_table, request.body);
    if (request.target == "/table/commit")
        return serveCommit(m_table, request.body);
    if (absl::StartsWith(request.target, "/objects/"))
        return serveObject(request);
    return answer(404);
}

HttpResponse PlatformServer::serveObject(const HttpRequest &request)
{
    const std::string name(absl::StripPrefix(request.target, "/objects/"));
    if (request.method == "PUT") {
        m_table.putObject(name, request.body);
        return answer(200);
    }
    const absl::StatusOr<std::string> content = m_table.object(name);
    return content.ok() ? answer(200, *content) : answer(404);
}

} // namespace dandeliondock::standins
