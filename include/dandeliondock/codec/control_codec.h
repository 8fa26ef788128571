#pragma once

#include <dandeliondock/codec/record_codec.h>
#include <dandeliondock/distribution/poll.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace dandeliondock {

// Conversions of poll requests, poll responses and snapshot requests to and from bytes. All functions are thread-safe.
// The decoders return InvalidMessage with the name of the field, or WrongDeployment with the names of both deployments.

[[nodiscard]] std::string encodePollRequest(const PollRequest &request);
[[nodiscard]] std::string encodePollAnswer(const PollAnswer &response);
[[nodiscard]] std::string encodeSnapshotRequest(const SnapshotRequest &request);

[[nodiscard]] absl::StatusOr<PollRequest> decodePollRequest(absl::string_view bytes, const DeploymentName &deployment);
[[nodiscard]] absl::StatusOr<PollAnswer> decodePollAnswer(absl::string_view bytes);
[[nodiscard]] absl::StatusOr<SnapshotRequest> decodeSnapshotRequest(absl::string_view bytes,
                                                                    const DeploymentName &deployment);

} // namespace dandeliondock
