#include "support/child_process.h"
#include "support/raw_socket.h"

#include <dandeliondock/http/client.h>
#include <dandeliondock/http/operator_server.h>
#include <dandeliondock/http/server.h>
#include <dandeliondock/http/shared_receive_account.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds waitTimeout{5'000};
constexpr std::size_t bodyBytes = 1'000'000;

// Admits two bodies of bodyBytes and a few connections.
constexpr ReceiveLimits limits{ByteCount(2'500'000), ConnectionCount(8)};

std::string announced(std::size_t length)
{
    return absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ", length, "\r\n\r\n");
}

HttpResponse echoLength(const HttpRequest &request)
{
    HttpResponse response;
    response.body = absl::StrCat("length ", request.body.size());
    return response;
}

class AccountFixture
{
public:
    AccountFixture()
        : m_account(std::make_shared<SharedReceiveAccount>(limits,
                                                           [this](const ShedHolder &holder, const ReceiveTotals &) {
                                                               const std::scoped_lock lock(m_mutex);
                                                               m_shed.push_back(holder.status.activity);
                                                           })),
          m_server(*HttpServerBuilder()
                            .listen("127.0.0.1", 0)
                            .maxBody(ByteCount(bodyBytes))
                            .account(m_account)
                            .handler([this](const HttpRequest &request) {
                                ++calls;
                                return echoLength(request);
                            })
                            .start())
    {
    }

    [[nodiscard]] std::uint16_t port() const { return m_server->port(); }
    [[nodiscard]] const std::shared_ptr<SharedReceiveAccount> &account() const { return m_account; }

    [[nodiscard]] std::vector<HolderActivity> shed() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_shed;
    }

    [[nodiscard]] bool holds(std::uint64_t bytes) const
    {
        return eventually([&] { return m_account->totals().held.value() >= bytes; }, waitTimeout);
    }

    std::atomic<int> calls{0};

private:
    mutable std::mutex m_mutex;
    std::vector<HolderActivity> m_shed;
    std::shared_ptr<SharedReceiveAccount> m_account;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

// Guards against stalled bodies that add up without a bound, and against a refusal of a request that is then handled.
TEST_CASE("a stalled body is refused when the connections of threads hold too much", "[http]")
{
    AccountFixture fixture;
    const RawConnection first(fixture.port());
    const RawConnection second(fixture.port());
    for (const RawConnection *stalled : {&first, &second})
        stalled->write(announced(bodyBytes) + std::string(bodyBytes - 1, 'x'));
    REQUIRE(fixture.holds(2 * (bodyBytes - 1)));
    std::this_thread::sleep_for(stalledAfter);
    const RawConnection whole(fixture.port());
    whole.write(announced(bodyBytes) + std::string(bodyBytes, 'x'));
    CHECK(absl::EndsWith(whole.readUntil(absl::StrCat("length ", bodyBytes)), absl::StrCat("length ", bodyBytes)));
    REQUIRE(fixture.shed() == std::vector{HolderActivity::Receiving});
    const std::string refusals = first.readUntil("\r\n\r\n") + second.readUntil("\r\n\r\n");
    CHECK(absl::StartsWith(refusals, "HTTP/1.1 503"));
    CHECK(absl::StrContains(refusals, "Retry-After: 1\r\n"));
    CHECK(absl::StrContains(refusals, "Connection: close\r\n"));
    CHECK(fixture.calls == 1);
}

// Guards against what is held of ended connections and requests being counted for ever.
TEST_CASE("ended connections and requests free what they held", "[http]")
{
    AccountFixture fixture;
    for (int i = 0; i < 10; ++i) {
        const RawConnection partial(fixture.port());
        partial.write(announced(bodyBytes) + std::string(bodyBytes / 2, 'x'));
        const RawConnection whole(fixture.port());
        whole.write(announced(bodyBytes) + std::string(bodyBytes, 'x'));
        CHECK(absl::StartsWith(whole.readUntil(absl::StrCat("length ", bodyBytes)), "HTTP/1.1 200"));
    }
    CHECK(eventually([&] { return fixture.account()->totals().connections == ConnectionCount(0); }, waitTimeout));
    CHECK(fixture.account()->totals().held == ByteCount(0));
    CHECK(fixture.calls == 10);
}

// Guards against idle connections that keep others out.
TEST_CASE("idle connections of threads are closed when there are too many", "[http]")
{
    AccountFixture fixture;
    std::vector<std::unique_ptr<RawConnection>> idle;
    for (int i = 0; i < 20; ++i)
        idle.push_back(std::make_unique<RawConnection>(fixture.port()));
    HttpClient client;
    const Address address(absl::StrCat("127.0.0.1:", fixture.port()));
    CHECK(client.send(address, {"GET", "/", {}, {}}, {}).response.ok());
    CHECK(fixture.account()->totals().connections <= limits.connections);
    CHECK(idle.front()->readAll().empty());
}

// Guards against chunks whose framing is out of proportion, and against trailers and heads without end.
TEST_CASE("a request whose framing has no end is refused", "[http]")
{
    AccountFixture fixture;
    const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string smallChunks;
    std::string lines;
    for (int i = 0; i < 100'000; ++i) {
        smallChunks += "1\r\nx\r\n";
        lines += "X-Line: x\r\n";
    }
    const RawConnection small(fixture.port());
    small.write(chunked + smallChunks);
    CHECK(absl::StartsWith(small.readUntil("\r\n\r\n"), "HTTP/1.1 413"));
    const RawConnection trailers(fixture.port());
    trailers.write(chunked + "0\r\n" + lines);
    CHECK(absl::StartsWith(trailers.readUntil("\r\n\r\n"), "HTTP/1.1 4"));
    const RawConnection head(fixture.port());
    head.write("GET / HTTP/1.1\r\nHost: a\r\n" + lines);
    CHECK(absl::StartsWith(head.readUntil("\r\n\r\n"), "HTTP/1.1 431"));
    CHECK(fixture.calls == 0);
}

// Guards against a listener of operators whose bodies are outside the account.
TEST_CASE("the requests of operators are accounted for with their largest body", "[http]")
{
    const auto account = std::make_shared<SharedReceiveAccount>(limits);
    auto server = OperatorServerBuilder()
                          .listen("127.0.0.1", 0)
                          .maxBody(ByteCount(bodyBytes))
                          .account(account)
                          .handler(&echoLength)
                          .start();
    REQUIRE(server.ok());
    const RawConnection first((*server)->port());
    first.write(announced(bodyBytes) + std::string(10, 'x'));
    REQUIRE(eventually([&] { return account->totals().held >= ByteCount(2 * bodyBytes); }, waitTimeout));
    std::this_thread::sleep_for(stalledAfter);
    const RawConnection second((*server)->port());
    second.write(announced(bodyBytes) + std::string(bodyBytes, 'x'));
    CHECK(absl::StrContains(second.readUntil(absl::StrCat("length ", bodyBytes)), "HTTP/1.1 200"));
    CHECK(first.readAll().empty());
    (*server)->stop();
    CHECK(account->totals().connections == ConnectionCount(0));
}

// Guards against a body of a form that the form parser of ulfius consumes, lost header lines and a truncated body that
// reaches the handler.
TEST_CASE("the server of operators passes requests on as they are", "[http]")
{
    std::atomic<int> calls{0};
    auto server = OperatorServerBuilder()
                          .listen("127.0.0.1", 0)
                          .maxBody(ByteCount(100))
                          .handler([&](const HttpRequest &request) {
                              ++calls;
                              HttpResponse response;
                              response.status = request.body.empty() ? 429 : 200;
                              response.body = request.body;
                              for (const HttpHeader &line : request.headers.lines()) {
                                  if (line.name == "X-Tag")
                                      response.headers.add("Set-Cookie", line.value);
                              }
                              return response;
                          })
                          .start();
    REQUIRE(server.ok());
    HttpClient client;
    const Address address(absl::StrCat("127.0.0.1:", (*server)->port()));
    HttpRequest request{"POST", "/", {}, "a=1&b=%20&a=2"};
    request.headers.add("Content-Type", "application/x-www-form-urlencoded");
    request.headers.add("X-Tag", "one");
    request.headers.add("X-Tag", "two");
    const SendResult result = client.send(address, request, {});
    REQUIRE(result.response.ok());
    CHECK(result.response->body == "a=1&b=%20&a=2");
    std::vector<std::string> cookies;
    for (const HttpHeader &line : result.response->headers.lines()) {
        if (absl::EqualsIgnoreCase(line.name, "Set-Cookie"))
            cookies.push_back(line.value);
    }
    CHECK(cookies == std::vector<std::string>{"one", "two"});
    CHECK(client.send(address, {"GET", "/", {}, {}}, {}).response->status == 429);
    CHECK(client.send(address, {"POST", "/", {}, std::string(101, 'a')}, {}).response->status == 413);
    CHECK(calls == 2);
}

} // namespace dandeliondock::testing
