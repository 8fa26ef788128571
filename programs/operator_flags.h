#pragma once

#include "command_line.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/node/operator_client.h>
#include <dandeliondock/settings/ip_address.h>
#include <dandeliondock/settings/node_settings.h>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <string>

DEFINE_string(node, "127.0.0.1:9003", "IP:port of a node's operators' listener");
DEFINE_string(key_file, "", "path of a file with the operators' key; else DANDELIONDOCK_OPERATOR_KEY is used");
DEFINE_uint32(timeout_ms, 5'000, "time limit of one request in milliseconds");
DEFINE_string(output, "text", "form of the output: text or json");

namespace dandeliondock::programs {

/// \brief The operators' key from the file or the environment.
inline absl::StatusOr<std::string> operatorKey()
{
    if (!FLAGS_key_file.empty()) {
        const absl::StatusOr<std::string> key = readFile(FLAGS_key_file);
        if (!key.ok())
            return key.status();
        return key->substr(0, key->find_last_not_of(" \r\n") + 1);
    }
    const char *key = std::getenv("DANDELIONDOCK_OPERATOR_KEY");
    if (key == nullptr || *key == '\0')
        return makeError(ErrorKind::NotAuthorised, "give --key_file or DANDELIONDOCK_OPERATOR_KEY");
    return std::string(key);
}

/// \brief A client from the flags; InvalidSettings or NotAuthorised when they do not serve.
inline absl::StatusOr<OperatorClient> operatorClient()
{
    if (!parseIpEndpoint(FLAGS_node))
        return makeError(ErrorKind::InvalidSettings, "--node must be IP:port");
    if (FLAGS_output != "text" && FLAGS_output != "json")
        return makeError(ErrorKind::InvalidSettings, "--output must be text or json");
    const absl::StatusOr<std::string> key = operatorKey();
    if (!key.ok())
        return key.status();
    return OperatorClient(std::make_shared<HttpClient>(), Address(FLAGS_node), *key, Milliseconds(FLAGS_timeout_ms));
}

/// \brief Prints an error; the exit code that goes with its kind.
inline int reportError(const char *program, const absl::Status &status)
{
    std::cerr << program << ": " << status.message() << "\n";
    return errorKind(status) == ErrorKind::OutcomeUnknown ? exitOutcomeUnknown : exitFailed;
}

} // namespace dandeliondock::programs
