#pragma once

#include "support/loop_thread.h"

#include <dandeliondock/http/async_server.h>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dandeliondock::testing {

/// \brief Faults of a FakeStore, each off at first.
struct FakeStoreFaults
{
    bool refusesAll = false;          ///< 503, nothing is done
    bool isUnresponsive = false;      ///< no call gets a response
    bool losesWriteResponses = false; ///< writes are done, their connection closes without a response
    bool hasNoHistory = false;        ///< 410 to every call for changes
};

/// \brief A stand-in for the platform's metadata store that speaks its published protocol on a loopback port.
///
/// \remark Every method may be called from the test's thread.
class FakeStore
{
public:
    FakeStore();
    ~FakeStore();
    FakeStore(const FakeStore &) = delete;
    FakeStore &operator=(const FakeStore &) = delete;

    [[nodiscard]] Address address() const;

    /// \brief Writes a row as the operator or another process would.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

    /// \brief The value of a row; empty when there is none.
    [[nodiscard]] std::string value(const std::string &table, const std::string &key);

    void setFaults(const FakeStoreFaults &faults);

    /// \brief Calls that got a response so far.
    [[nodiscard]] std::uint64_t calls();

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    struct Waiting
    {
        HttpRequestContextPtr context;
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<LoopTimer> timer;
    };

    using Query = std::map<std::string, std::string>;

    void handle(const HttpRequestContextPtr &context);
    void get(const HttpRequestContextPtr &context, Query &query);
    void feed(const HttpRequestContextPtr &context, Query &query);
    void transact(const HttpRequestContextPtr &context);
    void write(const std::string &table, const std::string &key, Row row);
    void respondToWaiting();
    [[nodiscard]] std::string rowsAfter(const std::string &table, std::uint64_t after, bool withRemoved, bool &isEmpty);

    std::uint16_t m_port;
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    std::vector<Waiting> m_waiting;
    std::vector<HttpRequestContextPtr> m_heldRequests;
    FakeStoreFaults m_faults;
    std::uint64_t m_version = 0;
    std::uint64_t m_calls = 0;
};

} // namespace dandeliondock::testing
