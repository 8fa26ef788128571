#pragma once

#include "support/loop_thread.h"

#include <dandeliondock/http/async_server.h>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dandeliondock::testing {

/// \brief Faults of a FakeStore; all are off by default.
struct FakeStoreFaults
{
    bool refusesAll = false;          ///< responds with 503 to every call and does nothing else
    bool isUnresponsive = false;      ///< never responds to a call
    bool losesWriteResponses = false; ///< applies writes, then closes their connection without a response
    bool hasNoHistory = false;        ///< responds with 410 to every call for changes
    std::string body{};               ///< if not empty, responds with it to every call, with status 200
};

/// \brief Stand-in for the platform's metadata store; it serves the store's published protocol on a loopback port.
///
/// \remark Methods run their work on the store's own loop thread and wait for it. They may be called from any other
/// thread.
class FakeStore
{
public:
    FakeStore();
    ~FakeStore();
    FakeStore(const FakeStore &) = delete;
    FakeStore &operator=(const FakeStore &) = delete;

    [[nodiscard]] Address address() const;

    /// \brief Writes a row, as an operator or another process would, and responds to the held calls that wait for it.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// \brief Writes a row without a response to the held calls, as if the store were lost right after the write.
    void putUnseen(const std::string &table, const std::string &key, const std::string &value);

    /// \brief Returns the value of a row; empty if there is no such row.
    [[nodiscard]] std::string value(const std::string &table, const std::string &key);

    /// \brief Replaces the faults; they also apply to the calls for changes that are held.
    void setFaults(const FakeStoreFaults &faults);

    /// \brief Keeps a copy of all rows for returnFromCopy().
    void takeCopy();

    /// \brief Comes back from the copy, as after a loss of the newest data: the era rises by one, versions continue
    /// from that of the copy, and calls for changes after a version that was not reached again get 410. Rows of the
    /// tables in \c rewritten that differ from the copy are written again with new versions, as their writers would;
    /// other writers are then given \c otherVersions more. \pre takeCopy() was called.
    void returnFromCopy(const std::set<std::string> &rewritten, std::uint64_t otherVersions = 0);

    /// \brief Returns the number of calls handled so far. A held call counts again whenever the faults are set.
    [[nodiscard]] std::uint64_t calls();

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    // A call for changes that gets its response when its table changes or its wait time ends.
    struct HeldPoll
    {
        HttpRequestContextPtr context;
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<LoopTimer> timer;
    };

    using Rows = std::map<std::pair<std::string, std::string>, Row>;
    using Query = std::map<std::string, std::string>;

    void handle(const HttpRequestContextPtr &context);
    void serveRead(const HttpRequestContextPtr &context, Query &query);
    void serveChanges(const HttpRequestContextPtr &context, Query &query);
    void serveTransaction(const HttpRequestContextPtr &context);
    void writeRow(const std::string &table, const std::string &key, Row row);
    /// Responds with the number of the era, which is in every response of the store.
    void respond(const HttpRequestContextPtr &context, int status, const std::string &body = {}) const;
    void respondToHeldPolls();
    // Returns the response body with the rows of a table whose version is above \c after, in the order of versions.
    // Sets \c isEmpty to whether there are none.
    [[nodiscard]] std::string rowsJson(const std::string &table, std::uint64_t after, bool includeRemoved,
                                       bool &isEmpty);

    std::uint16_t m_port;
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
    Rows m_rows;
    Rows m_copiedRows;
    std::vector<HeldPoll> m_heldPolls;
    std::vector<HttpRequestContextPtr> m_silencedRequests;
    FakeStoreFaults m_faults;
    std::uint64_t m_version = 0;
    std::uint64_t m_copiedVersion = 0;
    std::uint64_t m_era = 1;
    std::uint64_t m_callCount = 0;
};

} // namespace dandeliondock::testing
