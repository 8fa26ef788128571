#include "support/fake_store.h"

#include "support/child_process.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace dandeliondock::testing {

namespace {

using nlohmann::json;

std::string percentDecode(absl::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(std::string(text.substr(index + 1, 2)), nullptr, 16)));
            index += 2;
        } else {
            decoded.push_back(text[index]);
        }
    }
    return decoded;
}

std::uint64_t parseNumberOrZero(const std::string &text)
{
    std::uint64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

std::uint64_t nowMilliseconds()
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Milliseconds>(EventLoop::now().time_since_epoch()).count());
}

} // namespace

FakeStore::FakeStore() : m_port(freePort())
{
    m_thread.run([this] {
        m_server = std::make_unique<AsyncHttpServer>(m_thread.loop(),
                                                     [this](const HttpRequestContextPtr &context) { handle(context); });
        if (!m_server->listen(address()).ok())
            std::abort();
    });
}

FakeStore::~FakeStore()
{
    m_thread.run([this] {
        m_heldPolls.clear();
        m_silencedRequests.clear();
        m_server.reset();
    });
}

Address FakeStore::address() const
{
    return Address(absl::StrCat("127.0.0.1:", m_port));
}

void FakeStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_thread.run([&] {
        writeRow(table, key, {value, ++m_version, false});
        respondToHeldPolls();
    });
}

void FakeStore::putUnseen(const std::string &table, const std::string &key, const std::string &value)
{
    m_thread.run([&] { writeRow(table, key, {value, ++m_version, false}); });
}

void FakeStore::remove(const std::string &table, const std::string &key)
{
    m_thread.run([&] {
        writeRow(table, key, {{}, ++m_version, true});
        respondToHeldPolls();
    });
}

std::string FakeStore::value(const std::string &table, const std::string &key)
{
    std::string found;
    m_thread.run([&] {
        const auto row = m_rows.find({table, key});
        if (row != m_rows.end() && !row->second.isRemoved)
            found = row->second.value;
    });
    return found;
}

void FakeStore::setFaults(const FakeStoreFaults &faults)
{
    m_thread.run([&] {
        m_faults = faults;
        // Held calls are handled again, so that the new faults apply to them too.
        const auto heldPolls = std::exchange(m_heldPolls, {});
        for (const HeldPoll &item : heldPolls)
            handle(item.context);
    });
}

void FakeStore::takeCopy()
{
    m_thread.run([this] {
        m_copiedRows = m_rows;
        m_copiedVersion = m_version;
    });
}

void FakeStore::returnFromCopy(const std::set<std::string> &rewritten, std::uint64_t otherVersions)
{
    m_thread.run([&] {
        const Rows lostRows = std::exchange(m_rows, m_copiedRows);
        m_version = m_copiedVersion;
        ++m_era;
        for (const auto &[name, row] : lostRows) {
            const auto copied = m_rows.find(name);
            if (rewritten.contains(name.first) && (copied == m_rows.end() || copied->second.version != row.version))
                writeRow(name.first, name.second, {row.value, ++m_version, row.isRemoved});
        }
        m_version += otherVersions;
        // Held calls are handled again: most of them are for changes after a version that no longer exists.
        for (const HeldPoll &item : std::exchange(m_heldPolls, {}))
            handle(item.context);
    });
}

std::uint64_t FakeStore::calls()
{
    std::uint64_t calls = 0;
    m_thread.run([&] { calls = m_callCount; });
    return calls;
}

void FakeStore::respond(const HttpRequestContextPtr &context, int status, const std::string &body) const
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Store-Era", absl::StrCat(m_era));
    response.body = body;
    context->respond(std::move(response));
}

void FakeStore::handle(const HttpRequestContextPtr &context)
{
    ++m_callCount;
    if (m_faults.isUnresponsive) {
        m_silencedRequests.push_back(context);
        return;
    }
    if (m_faults.refusesAll) {
        respond(context, 503);
        return;
    }
    if (!m_faults.body.empty()) {
        respond(context, 200, m_faults.body);
        return;
    }
    const std::pair<std::string, std::string> pathAndQuery =
            absl::StrSplit(context->request().target, absl::MaxSplits('?', 1));
    Query query;
    for (absl::string_view item : absl::StrSplit(pathAndQuery.second, '&')) {
        const std::pair<std::string, std::string> nameAndValue = absl::StrSplit(item, absl::MaxSplits('=', 1));
        query[nameAndValue.first] = percentDecode(nameAndValue.second);
    }
    if (pathAndQuery.first == "/api/rows-get")
        serveRead(context, query);
    else if (pathAndQuery.first == "/api/rows-feed")
        serveChanges(context, query);
    else if (pathAndQuery.first == "/api/rows-tx")
        serveTransaction(context);
    else
        respond(context, 404);
}

std::string FakeStore::rowsJson(const std::string &table, std::uint64_t after, bool includeRemoved, bool &isEmpty)
{
    json rows = json::array();
    std::map<std::uint64_t, json> byVersion;
    for (const auto &[name, row] : m_rows) {
        if (name.first != table || row.version <= after || (row.isRemoved && !includeRemoved))
            continue;
        json item = {{"table", table}, {"part", ""}, {"key", name.second}, {"ver", row.version}};
        if (row.isRemoved)
            item["removed"] = true;
        else
            item["value"] = absl::Base64Escape(row.value);
        byVersion[row.version] = item;
    }
    for (const auto &[version, item] : byVersion)
        rows.push_back(item);
    isEmpty = rows.empty();
    return json{{"rows", rows}, {"has_more", false}, {"ver", m_version}, {"now_ms", nowMilliseconds()}}.dump();
}

void FakeStore::serveRead(const HttpRequestContextPtr &context, Query &query)
{
    bool isEmpty = false;
    respond(context, 200, rowsJson(query["table"], 0, false, isEmpty));
}

void FakeStore::serveChanges(const HttpRequestContextPtr &context, Query &query)
{
    if (m_faults.hasNoHistory || parseNumberOrZero(query["after"]) > m_version) {
        respond(context, 410);
        return;
    }
    bool isEmpty = false;
    const std::string body = rowsJson(query["table"], parseNumberOrZero(query["after"]), true, isEmpty);
    if (!isEmpty) {
        respond(context, 200, body);
        return;
    }
    HeldPoll poll{context, query["table"], parseNumberOrZero(query["after"]), nullptr};
    poll.timer = std::make_shared<LoopTimer>(
            m_thread.loop().after(Milliseconds(parseNumberOrZero(query["wait_ms"])), [this, context] {
                bool hasNoRows = false;
                std::erase_if(m_heldPolls, [&context](const HeldPoll &item) { return item.context == context; });
                respond(context, 200, rowsJson("", m_version, true, hasNoRows));
            }));
    m_heldPolls.push_back(std::move(poll));
}

void FakeStore::serveTransaction(const HttpRequestContextPtr &context)
{
    const json body = json::parse(context->request().body.text());
    for (const json &condition : body["expected_rev"]) {
        const auto row = m_rows.find({condition["table"], condition["key"]});
        const std::uint64_t currentVersion = row == m_rows.end() || row->second.isRemoved ? 0 : row->second.version;
        if (currentVersion != condition["ver"].get<std::uint64_t>()) {
            respond(context, 412, json{{"rows", json::array()}, {"ver", m_version}, {"now_ms", 1}}.dump());
            return;
        }
    }
    ++m_version;
    for (const json &row : body["put"]) {
        std::string value;
        absl::Base64Unescape(row["value"].get<std::string>(), &value);
        writeRow(row["table"], row["key"], {value, m_version, false});
    }
    for (const json &row : body["remove"])
        writeRow(row["table"], row["key"], {{}, m_version, true});
    if (m_faults.losesWriteResponses)
        context->abort();
    else
        respond(context, 200, json{{"ver", m_version}, {"now_ms", nowMilliseconds()}}.dump());
    respondToHeldPolls();
}

void FakeStore::writeRow(const std::string &table, const std::string &key, Row row)
{
    m_rows[{table, key}] = std::move(row);
}

void FakeStore::respondToHeldPolls()
{
    std::vector<HeldPoll> remaining;
    for (HeldPoll &item : m_heldPolls) {
        bool isEmpty = false;
        const std::string body = rowsJson(item.table, item.after, true, isEmpty);
        if (isEmpty)
            remaining.push_back(std::move(item));
        else
            respond(item.context, 200, body);
    }
    m_heldPolls = std::move(remaining);
}

} // namespace dandeliondock::testing
