#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/config/ticket.h>

#include <absl/status/statusor.h>

#include <config.pb.h>

namespace dandeliondock {

// Conversions between the domain types of the configuration and their protobuf messages. All functions are thread-safe.
// For messages that the schema allows but the domain types do not, the decoders return InvalidMessage with the name of
// the field. decodeState() also returns the errors of ConfigState::fromSnapshot().

[[nodiscard]] wire::Resource encodeResource(const Resource &resource);
[[nodiscard]] wire::Ticket encodeTicket(const Ticket &ticket);
[[nodiscard]] wire::Revision encodeRevision(const Revision &revision);
[[nodiscard]] wire::ConfigState encodeState(const ConfigState &state);

[[nodiscard]] absl::StatusOr<Resource> decodeResource(const wire::Resource &message);
[[nodiscard]] absl::StatusOr<Ticket> decodeTicket(const wire::Ticket &message);
[[nodiscard]] absl::StatusOr<Revision> decodeRevision(const wire::Revision &message);
[[nodiscard]] absl::StatusOr<ConfigState> decodeState(const wire::ConfigState &message);

} // namespace dandeliondock
