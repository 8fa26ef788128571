#pragma once

#include "support/test_cluster.h"

#include <absl/strings/str_cat.h>

#include <string>

namespace dandeliondock::testing {

constexpr std::chrono::seconds convergenceLimit{25};

/// \brief Returns a JSON ticket with version v1 of the service "ledger", the service and its route "orders".
[[nodiscard]] inline std::string ledgerTicket(int number, const std::string &author, int timeoutMs = 1'000)
{
    return absl::StrCat(R"({"number": )", number, R"(, "author": ")", author, R"(", "resources": [
        {"version": {"service": "ledger", "name": "v1"}},
        {"service": {"name": "ledger", "version": "v1", "slots_per_target": 20, "connections_per_target": 130}},
        {"route": {"name": "orders", "path_prefix": "/orders", "service": "ledger", "timeout_ms": )",
                        timeoutMs, R"(, "work_class": "WORK_CLASS_CRITICAL"}}]})");
}

/// \brief Sends a request to the operators' listener of a node.
[[nodiscard]] inline SendResult operatorRequest(const NodeProcess &node, HttpRequest request)
{
    HttpClient client;
    request.headers.add("X-Operator-Key", "test-key");
    SendOptions options;
    options.timeout = Milliseconds{10'000};
    return client.send(Address(absl::StrCat("127.0.0.1:", node.operatorsPort)), request, options);
}

/// \brief Sends a request to the stand-in target of a node.
[[nodiscard]] inline SendResult targetRequest(const NodeProcess &node, const HttpRequest &request)
{
    HttpClient client;
    return client.send(Address(absl::StrCat("127.0.0.1:", node.targetPort)), request, {});
}

/// \brief Whether a response was received and has \c status.
[[nodiscard]] inline bool hasStatus(const SendResult &result, int status)
{
    return result.response.ok() && result.response->status == status;
}

/// \brief Whether the response is a node's refusal with the given outcome.
[[nodiscard]] inline bool isRefusal(const SendResult &result, const std::string &outcome)
{
    return result.response.ok() && result.response->headers.first("X-Dandeliondock-Outcome") == outcome;
}

} // namespace dandeliondock::testing
