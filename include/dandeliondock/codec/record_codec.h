#pragma once

#include <dandeliondock/membership/endpoint.h>
#include <dandeliondock/rollout/outcomes.h>
#include <dandeliondock/rollout/rollout_record.h>

#include <absl/status/statusor.h>

#include <control.pb.h>

namespace dandeliondock {

// Conversions of the records in poll requests and responses to and from protobuf messages. All functions are
// thread-safe. The decoders return InvalidMessage with the name of the field.

[[nodiscard]] wire::EndpointRecord encodeEndpoint(const Endpoint &endpoint);
[[nodiscard]] wire::RolloutRecord encodeRollout(const RolloutRecord &record);
[[nodiscard]] wire::OutcomeBatch encodeOutcomes(const OutcomeBatch &batch);

[[nodiscard]] absl::StatusOr<Endpoint> decodeEndpoint(const wire::EndpointRecord &message);
[[nodiscard]] absl::StatusOr<RolloutRecord> decodeRollout(const wire::RolloutRecord &message);
[[nodiscard]] absl::StatusOr<OutcomeBatch> decodeOutcomes(const wire::OutcomeBatch &message);

} // namespace dandeliondock
