#pragma once

#include <dandeliondock/codec/record_codec.h>
#include <dandeliondock/distribution/poll.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace dandeliondock {

// Conversions of polls, their answers and requests for snapshots. All functions are thread-safe; the decoders return
// InvalidMessage naming the field, or WrongDeployment naming both deployments.

[[nodiscard]] std::string encodePollRequest(const PollRequest &request);
[[nodiscard]] std::string encodePollAnswer(const PollAnswer &answer);
[[nodiscard]] std::string encodeSnapshotRequest(const SnapshotRequest &request);

[[nodiscard]] absl::StatusOr<PollRequest> decodePollRequest(absl::string_view bytes, const DeploymentName &deployment);
[[nodiscard]] absl::StatusOr<PollAnswer> decodePollAnswer(absl::string_view bytes);
[[nodiscard]] absl::StatusOr<SnapshotRequest> decodeSnapshotRequest(absl::string_view bytes,
                                                                    const DeploymentName &deployment);

} // namespace dandeliondock
