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

DEFINE_string(node, "127.0.0.1:9003", "IP:port of a node's listener for operators");
DEFINE_string(key_file, "", "path of a file with the operator key; if empty, DANDELIONDOCK_OPERATOR_KEY is used");
DEFINE_uint32(timeout_ms, 5'000, "timeout of one request in milliseconds");
DEFINE_string(output, "text", "output format: text or json");

namespace dandeliondock::programs {

/// \brief Returns the operator key from the file of --key_file or else from the environment; NotFound if the file
/// cannot be opened, NotAuthorised if there is no key.
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
        return makeError(ErrorKind::NotAuthorised, "set --key_file or DANDELIONDOCK_OPERATOR_KEY");
    return std::string(key);
}

/// \brief Returns a client for the node that the flags name; InvalidSettings if a flag is invalid, or the error of
/// operatorKey().
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

/// \brief Prints an error to the standard error stream and returns the exit code of its kind.
inline int reportError(const char *program, const absl::Status &status)
{
    std::cerr << program << ": " << status.message() << "\n";
    return errorKind(status) == ErrorKind::OutcomeUnknown ? exitOutcomeUnknown : exitFailed;
}

} // namespace dandeliondock::programs
