#pragma once

#include <dandeliondock/membership/endpoint.h>
#include <dandeliondock/proxy/service_versions.h>
#include <dandeliondock/rollout/outcome_aggregator.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <optional>
#include <string>

namespace dandeliondock {

/// \brief Outcomes that a proxy sends to the proxy that drives a rollout.
struct OutcomeReport
{
    ChildId sender;
    std::optional<OutcomeBatch> batch; ///< empty if there are no new outcomes
};

// Conversions of the table rows and messages that proxies exchange, to and from bytes. All functions are thread-safe.
// The decoders of rows return InvalidRow if the bytes cannot be parsed or a number is out of range, and InvalidMessage
// if another field is invalid. \c inboundAddress is the address in the key of the row, which the row must repeat.
// decodeOutcomeReport() returns InvalidMessage.

[[nodiscard]] std::string encodeTargetRow(const Endpoint &endpoint);
[[nodiscard]] absl::StatusOr<Endpoint> decodeTargetRow(const Address &inboundAddress, absl::string_view bytes);

[[nodiscard]] std::string encodeServiceVersions(const ServiceVersions &versions);
[[nodiscard]] absl::StatusOr<ServiceVersions> decodeServiceVersions(const ServiceName &service,
                                                                    absl::string_view bytes);

[[nodiscard]] std::string encodeOutcomeReport(const OutcomeReport &report);
[[nodiscard]] absl::StatusOr<OutcomeReport> decodeOutcomeReport(absl::string_view bytes);

} // namespace dandeliondock
