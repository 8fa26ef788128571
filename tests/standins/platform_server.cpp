#include "platform_server.h"

#include <dandeliondock/codec/protobuf_codec.h>

#include <absl/strings/match.h>
#include <absl/strings/strip.h>

#include <standin.pb.h>
#include <store.pb.h>

#include <thread>

namespace dandeliondock::standins {

namespace {

constexpr ByteCount maxBody{64U << 20U};

HttpResponse makeResponse(int status, std::string body = {})
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

HttpResponse makeRowsResponse(const std::vector<TableRow> &rows)
{
    wire::ReadAnswer message;
    for (const TableRow &row : rows) {
        wire::TableRow *entry = message.add_rows();
        entry->set_key(row.key.value());
        entry->set_version(row.version.value());
        entry->set_value(row.value);
    }
    return makeResponse(200, message.SerializeAsString());
}

HttpResponse serveRead(const MemoryTable &table, const std::string &body)
{
    wire::ReadRequest request;
    if (!request.ParseFromString(body))
        return makeResponse(400);
    std::vector<RowKey> keys;
    for (const std::string &key : request.keys())
        keys.emplace_back(key);
    return makeRowsResponse(table.read(keys));
}

HttpResponse serveScan(const MemoryTable &table, const std::string &body)
{
    wire::ReadRequest request;
    if (!request.ParseFromString(body))
        return makeResponse(400);
    return makeRowsResponse(table.scan({request.prefix(), request.from(), request.limit()}));
}

HttpResponse serveCommit(MemoryTable &table, const std::string &body)
{
    wire::CommitRequest request;
    if (!request.ParseFromString(body))
        return makeResponse(400);
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
    return makeResponse(200, message.SerializeAsString());
}

HttpResponse setFaults(FaultInjector &injector, const std::string &body)
{
    wire::StandinFaults message;
    if (absl::Status status = parseJson(body, ErrorKind::InvalidMessage, "faults", message); !status.ok())
        return makeResponse(400, std::string(status.message()));
    injector.set({message.outage(), Milliseconds(message.delay_ms()), Share(message.lost_answers()),
                  Share(message.lost_requests()), Share(message.refusals()), message.reads_per_second(),
                  message.writes_per_second()});
    return makeResponse(200);
}

HttpResponse makeCountsResponse(const FaultInjector &injector)
{
    const CallCounts counts = injector.counts();
    wire::StandinCounts message;
    message.set_reads(counts.reads);
    message.set_writes(counts.writes);
    message.set_refused(counts.refused);
    message.set_lost(counts.lost);
    return makeResponse(200, printJson(message));
}

CallKind callKindOf(const HttpRequest &request)
{
    const bool isWrite = request.target == "/table/commit" || request.method == "PUT";
    return isWrite ? CallKind::Write : CallKind::Read;
}

} // namespace

absl::StatusOr<std::unique_ptr<PlatformServer>> PlatformServer::start(const std::string &address, std::uint16_t port,
                                                                      std::uint64_t seed)
{
    auto platform = std::make_unique<PlatformServer>();
    platform->m_faults = std::make_shared<FaultInjector>(systemTime(), seededRandom(seed));
    PlatformServer *self = platform.get();
    auto server = HttpServerBuilder()
                          .listen(address, port)
                          .maxBody(maxBody)
                          .handler([self](const HttpRequest &request) { return self->serveWithFaults(request); })
                          .start();
    if (!server.ok())
        return server.status();
    platform->m_server = *std::move(server);
    return platform;
}

HttpResponse PlatformServer::serveWithFaults(const HttpRequest &request)
{
    if (absl::StartsWith(request.target, "/standin/"))
        return serveStandinRequest(request);
    const Milliseconds delay = m_faults->faults().delay;
    if (delay > Milliseconds(0))
        std::this_thread::sleep_for(delay);
    switch (m_faults->decide(callKindOf(request))) {
    case FaultDecision::Refuse:
        return makeResponse(503);
    case FaultDecision::LimitRate:
        return makeResponse(429);
    case FaultDecision::DropRequest:
        return makeResponse(504);
    case FaultDecision::DropResponse:
        (void)serve(request);
        return makeResponse(504);
    case FaultDecision::Serve:
        break;
    }
    return serve(request);
}

HttpResponse PlatformServer::serveStandinRequest(const HttpRequest &request)
{
    if (request.target == "/standin/faults" && request.method == "POST")
        return setFaults(*m_faults, request.body);
    if (request.target == "/standin/counts" && request.method == "GET")
        return makeCountsResponse(*m_faults);
    return makeResponse(404);
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
    return makeResponse(404);
}

HttpResponse PlatformServer::serveObject(const HttpRequest &request)
{
    const std::string name(absl::StripPrefix(request.target, "/objects/"));
    if (request.method == "PUT") {
        m_table.putObject(name, request.body);
        return makeResponse(200);
    }
    const absl::StatusOr<std::string> content = m_table.object(name);
    return content.ok() ? makeResponse(200, *content) : makeResponse(404);
}

} // namespace dandeliondock::standins
