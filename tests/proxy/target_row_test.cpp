#include "support/loop_thread.h"
#include "support/table_versions.h"

#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/target_row.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

const Address inboundAddress("127.0.0.1:1");

Endpoint record(EndpointState state, std::uint64_t incarnation = 5)
{
    Endpoint endpoint;
    endpoint.target = TargetId("t");
    endpoint.stamp = {Incarnation(incarnation), SequenceNumber(1), state};
    endpoint.controlAddress = inboundAddress;
    endpoint.service = ServiceName("s");
    return endpoint;
}

/// A TargetRow over a table with one row, whose responses can be lost.
class TestRow
{
public:
    TestRow()
    {
        m_hooks.read = [this](const TableName &, const RowKey &key, const TableReadHandler &handler) {
            ++reads;
            absl::StatusOr<TableReadResult> result = TableReadResult();
            if (isDown)
                result = makeError(ErrorKind::StoreUnavailable, "down");
            else if (m_version > 0)
                result->put({key, RowVersion(m_version), m_value});
            m_thread.loop().post([handler, result] { handler(result); });
        };
        m_hooks.commit = [this](const TableTransaction &transaction, const TableCommitHandler &handler) {
            absl::StatusOr<TableCommitResult> result = TableCommitResult{false, tableVersion(m_version)};
            REQUIRE(transaction.conditions.size() == 1);
            if (isDown) {
                result = makeError(ErrorKind::StoreUnavailable, "down");
            } else if (transaction.conditions.front().version == tableVersion(m_version)) {
                write(*transaction.writes.front().row.value);
                result = TableCommitResult{true, tableVersion(m_version)};
                if (losesResponses)
                    result = makeError(ErrorKind::OutcomeUnknown, "lost");
            }
            m_thread.loop().post([handler, result] { handler(result); });
        };
        m_thread.run([this] {
            TargetRowDependencies dependencies;
            dependencies.loop = &m_thread.loop();
            dependencies.table = &m_hooks;
            dependencies.inboundAddress = inboundAddress;
            dependencies.random = seededRandom(1);
            dependencies.onRead = [this](const std::optional<Endpoint> &endpoint) { found.push_back(endpoint); };
            dependencies.onRecorded = [this](const Endpoint &endpoint) { recorded.push_back(endpoint); };
            m_row = std::make_unique<TargetRow>(std::move(dependencies));
        });
    }

    ~TestRow()
    {
        m_thread.run([this] { m_row.reset(); });
    }

    /// Runs work on the loop, then leaves time for the reads, writes and retries that follow.
    void run(const std::function<void(TargetRow &)> &work)
    {
        m_thread.run([&] { work(*m_row); });
        std::this_thread::sleep_for(rowWriteRetryDelay * 2);
    }

    /// Writes the row as another process would.
    void writeAsOther(const Endpoint &endpoint)
    {
        m_thread.run([&] { write(encodeTargetRow(endpoint)); });
    }

    /// The record in the row; empty if there is none.
    std::optional<Endpoint> stored()
    {
        std::optional<Endpoint> endpoint;
        m_thread.run([&] {
            if (auto decoded = decodeTargetRow(inboundAddress, m_value); m_version > 0 && decoded.ok())
                endpoint = *std::move(decoded);
        });
        return endpoint;
    }

    [[nodiscard]] TableVersion version() const { return tableVersion(m_version); }

    std::vector<std::optional<Endpoint>> found;
    std::vector<Endpoint> recorded;
    int reads = 0;
    bool isDown = false;
    bool losesResponses = false;

private:
    void write(const std::string &value)
    {
        m_value = value;
        ++m_version;
    }

    LoopThread m_thread;
    AsyncTableHooks m_hooks;
    std::unique_ptr<TargetRow> m_row;
    std::string m_value;
    std::uint64_t m_version = 0;
};

} // namespace

// Guards against a process that overwrites the departure which an earlier one has acknowledged.
TEST_CASE("the record of an earlier process is read before the first write", "[proxy]")
{
    TestRow row;
    row.writeAsOther(record(EndpointState::Gone));
    row.isDown = true;
    row.run([](TargetRow &target) { target.start(); });
    CHECK(row.found.empty());
    row.isDown = false;
    std::this_thread::sleep_for(rowWriteRetryDelay * 2);
    REQUIRE(row.found.size() == 1);
    CHECK(row.found.front() == record(EndpointState::Gone));
    CHECK(row.recorded.empty());
    row.run([](TargetRow &target) { target.announce(record(EndpointState::Serving, 6)); });
    CHECK(row.stored() == record(EndpointState::Serving, 6));
    CHECK(row.recorded == std::vector{record(EndpointState::Serving, 6)});
}

// Guards against a record that counts as written although nobody knows, or is never reported as written.
TEST_CASE("a write whose response is lost is confirmed by a read", "[proxy]")
{
    TestRow row;
    row.run([](TargetRow &target) { target.start(); });
    row.losesResponses = true;
    row.run([](TargetRow &target) { target.announce(record(EndpointState::Leaving)); });
    CHECK(row.recorded == std::vector{record(EndpointState::Leaving)});
    CHECK(row.version() == tableVersion(1));
}

// Guards against a write of this process that replaces what another process has written unseen.
TEST_CASE("a write on top of an unseen change reads the row first", "[proxy]")
{
    TestRow row;
    row.run([](TargetRow &target) { target.start(); });
    row.run([](TargetRow &target) { target.announce(record(EndpointState::Serving)); });
    row.writeAsOther(record(EndpointState::Gone));
    row.found.clear();
    row.run([](TargetRow &target) { target.announce(record(EndpointState::Leaving)); });
    REQUIRE(row.found.size() == 1);
    CHECK(row.found.front() == record(EndpointState::Gone));
    CHECK(row.stored() == record(EndpointState::Leaving));
}

TEST_CASE("a change of another writer that the table shows is read, and the announced record is written again",
          "[proxy]")
{
    TestRow row;
    row.run([](TargetRow &target) { target.start(); });
    row.run([](TargetRow &target) { target.announce(record(EndpointState::Serving)); });
    const int reads = row.reads;
    row.run([&](TargetRow &target) { target.handleTableVersion(row.version()); });
    CHECK(row.reads == reads);
    row.writeAsOther(record(EndpointState::Starting));
    row.run([&](TargetRow &target) { target.handleTableVersion(row.version()); });
    CHECK(row.reads == reads + 1);
    CHECK(row.stored() == record(EndpointState::Serving));
}

} // namespace dandeliondock::testing
