#include "standins/memory_table.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/node/ticket_service.h>
#include <dandeliondock/store/row_keys.h>
#include <dandeliondock/store/snapshots.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

using standins::MemoryTable;

Ticket makeTicket(std::uint64_t number)
{
    Ticket ticket;
    ticket.number = TicketNumber(number);
    ticket.author = AuthorName("ada");
    Service service;
    service.name = ServiceName("service-" + std::to_string(number % 7));
    service.version = VersionName("v" + std::to_string(number));
    ticket.resources = {Version{service.name, service.version}, service};
    return ticket;
}

// Files tickets and writes a snapshot whenever one is due, as the root does.
void fileTickets(MemoryTable &table, std::uint64_t count)
{
    TicketService service(table.hooks(), systemTime(), [](Milliseconds) {});
    ConfigStore root;
    for (std::uint64_t number = 1; number <= count; ++number) {
        REQUIRE(service.file(makeTicket(number)).ok());
        const VersionedHead head = *readVersionedHead(table.hooks());
        REQUIRE(catchUpToRevision(table.hooks(), head.head.revision, root).ok());
        if (snapshotDue(head.head))
            REQUIRE(writeSnapshot(table.hooks(), *root.current()).ok());
    }
}

} // namespace

// Guards against a configuration that depends on whether it was read from a snapshot or from every revision.
TEST_CASE("a reader at any revision reaches the configuration at the head", "[store]")
{
    constexpr std::uint64_t count = 200;
    MemoryTable table;
    ConfigStore fullConfig;
    std::vector<ConfigStatePtr> history{fullConfig.current()};
    TicketService service(table.hooks(), systemTime(), [](Milliseconds) {});
    for (std::uint64_t number = 1; number <= count; ++number) {
        REQUIRE(fullConfig.apply({RevisionNumber(number), makeTicket(number), WallTime{}}).ok());
        history.push_back(fullConfig.current());
    }
    fileTickets(table, count);
    rc::prop("from any earlier revision", [&] {
        ConfigStore reader;
        reader.applySnapshot(*history[*rc::gen::inRange<std::size_t>(0, count + 1)]);
        RC_ASSERT(catchUpToRevision(table.hooks(), RevisionNumber(count), reader).ok());
        RC_ASSERT(*reader.current() == *fullConfig.current());
    });
}

// Guards against revision rows that are never removed, and against the removal of rows that a reader of the previous
// snapshot still needs.
TEST_CASE("revision rows up to the previous snapshot are removed", "[store]")
{
    MemoryTable table;
    fileTickets(table, 3 * snapshotIntervalRevisions);
    const VersionedHead head = *readVersionedHead(table.hooks());
    CHECK(head.head.snapshotRevision == RevisionNumber(3 * snapshotIntervalRevisions));
    const auto rows = *table.hooks().scan({revisionPrefix, {}, 1'000});
    REQUIRE(rows.size() == snapshotIntervalRevisions);
    CHECK(rows.front().key == revisionKey(RevisionNumber(2 * snapshotIntervalRevisions + 1)));
}

// Guards against a missing or damaged snapshot that is taken for an empty configuration.
TEST_CASE("a missing or damaged snapshot is an error that names the object", "[store]")
{
    MemoryTable table;
    fileTickets(table, 2 * snapshotIntervalRevisions);
    const std::string name = snapshotName(RevisionNumber(2 * snapshotIntervalRevisions));
    const std::string content = *table.object(name);
    rc::prop("one byte is changed and the end is cut off", [&] {
        std::string bytes = content;
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= *rc::gen::inRange<char>(1, 127);
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        table.putObject(name, bytes);
        ConfigStore reader;
        const absl::Status status =
                catchUpToRevision(table.hooks(), RevisionNumber(2 * snapshotIntervalRevisions), reader);
        RC_ASSERT(errorKind(status) == ErrorKind::InvalidRow);
        RC_ASSERT(status.message().find(name) != absl::string_view::npos);
        RC_ASSERT(reader.current()->revision() == RevisionNumber{});
    });
}

} // namespace dandeliondock
