#include <dandeliondock/http/client.h>
#include <dandeliondock/http/server.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

namespace dandeliondock {

// Guards against an error response without a body that arrives with status 200.
TEST_CASE("a response without a body keeps its status and headers", "[http]")
{
    const auto server = HttpServerBuilder()
                                .listen("127.0.0.1", 0)
                                .handler([](const HttpRequest &) {
                                    HttpResponse response;
                                    response.status = 503;
                                    response.headers.add("X-Reason", "outage");
                                    return response;
                                })
                                .start();
    REQUIRE(server.ok());
    HttpClient client;
    const Address address(absl::StrCat("127.0.0.1:", (*server)->port()));
    const SendResult result = client.send(address, {"GET", "/", {}, {}}, {});
    REQUIRE(result.response.ok());
    CHECK(result.response->status == 503);
    CHECK(result.response->headers.first("X-Reason") == "outage");
}

} // namespace dandeliondock
