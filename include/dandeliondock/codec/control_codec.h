#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/distribution/poll.h>
#include <dandeliondock/distribution/relay_lease.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <control.pb.h>

#include <string>

namespace dandeliondock {

// Conversions of the messages between nodes. All functions are thread-safe; the decoders return InvalidMessage naming
// the field, or WrongDeployment naming both deployments.

[[nodiscard]] wire::EndpointRecord encodeEndpoint(const Endpoint &endpoint);
[[nodiscard]] wire::RolloutRecord encodeRollout(const RolloutRecord &record);
[[nodiscard]] wire::OutcomeBatch encodeOutcomes(const OutcomeBatch &batch);

[[nodiscard]] absl::StatusOr<Endpoint> decodeEndpoint(const wire::EndpointRecord &message);
[[nodiscard]] absl::StatusOr<RolloutRecord> decodeRollout(const wire::RolloutRecord &message);
[[nodiscard]] absl::StatusOr<OutcomeBatch> decodeOutcomes(const wire::OutcomeBatch &message);

[[nodiscard]] std::string encodePollRequest(const PollRequest &request);
[[nodiscard]] std::string encodePollAnswer(const PollAnswer &answer);
[[nodiscard]] std::string encodeSnapshotRequest(const SnapshotRequest &request);

[[nodiscard]] absl::StatusOr<PollRequest> decodePollRequest(absl::string_view bytes, const DeploymentName &deployment);
[[nodiscard]] absl::StatusOr<PollAnswer> decodePollAnswer(absl::string_view bytes);
[[nodiscard]] absl::StatusOr<SnapshotRequest> decodeSnapshotRequest(absl::string_view bytes,
                                                                    const DeploymentName &deployment);

/// \brief The compressed form of a whole state.
[[nodiscard]] absl::StatusOr<std::string> encodeSnapshot(const ConfigState &state);

/// \brief A state from its compressed form; bounded by maxSnapshotBytes once decompressed.
[[nodiscard]] absl::StatusOr<ConfigState> decodeSnapshot(absl::string_view bytes);

inline constexpr std::size_t maxSnapshotBytes = std::size_t{64} << 20U;

[[nodiscard]] std::string encodeLease(const LeaseRecord &record);

/// \return InvalidRow when the row's value is not a lease.
[[nodiscard]] absl::StatusOr<LeaseRecord> decodeLease(absl::string_view bytes, const RowKey &key);

} // namespace dandeliondock
