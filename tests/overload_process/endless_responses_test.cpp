#include "support/child_process.h"
#include "support/overload_deployment.h"
#include "support/raw_socket.h"

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

// Commands of the operators against a peer that sends a response without end.

namespace dandeliondock::testing {
namespace {

constexpr std::size_t mebibyte = 1'048'576;
constexpr std::size_t sentParts = 192;
constexpr std::uint64_t commandMemoryLimit = 64'000'000;

// Returns the largest memory of the command that was seen until it ended, and checks that it reported a failure.
std::uint64_t peakOf(const std::string &program, std::vector<std::string> arguments, const RawListener &peer)
{
    arguments.insert(arguments.begin(),
                     {"--node=" + peer.address().value(), "--key_file=" + writeTemporary("key", "test-key")});
    ChildProcess command(program, arguments);
    std::atomic<bool> hasEnded{false};
    std::uint64_t peakBytes = 0;
    std::thread watcher([&] {
        while (!hasEnded) {
            peakBytes = std::max(peakBytes, usageOf(command).peakBytes);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
    static_cast<void>(command.readAll());
    hasEnded = true;
    watcher.join();
    CHECK(command.wait() > 0);
    std::cout << program << ": VmHWM=" << peakBytes << std::endl;
    return peakBytes;
}

RawListener::Script endless(const std::string &head, const std::string &part)
{
    return [head, part](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("\r\n\r\n"));
        connection.write(head);
        for (std::size_t sent = 0; sent < sentParts * mebibyte; sent += part.size())
            connection.write(part);
    };
}

} // namespace

// Guards against a command that holds a response without end.
TEST_CASE("the commands refuse a response without end within their memory", "[overload_process]")
{
    const RawListener peer(endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   absl::StrCat("100000\r\n", std::string(mebibyte, 'x'), "\r\n")));
    CHECK(peakOf("dandeliondock-status", {}, peer) <= commandMemoryLimit);
    CHECK(peakOf("dandeliondock-ticket", {"show", "1"}, peer) <= commandMemoryLimit);
}

// Guards against a command that holds the head of a response without end.
TEST_CASE("the commands refuse a head without end within their memory", "[overload_process]")
{
    const RawListener peer(endless("HTTP/1.1 200 OK\r\n", absl::StrCat("X-Line: ", std::string(1'000, 'x'), "\r\n")));
    CHECK(peakOf("dandeliondock-status", {}, peer) <= commandMemoryLimit);
    CHECK(peakOf("dandeliondock-ticket", {"show", "1"}, peer) <= commandMemoryLimit);
}

} // namespace dandeliondock::testing
