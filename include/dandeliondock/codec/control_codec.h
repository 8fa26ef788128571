#pragma once

#include <dandeliondock/distribution/poll.h>

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

} // namespace dandeliondock
