#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/config/ticket.h>

#include <absl/status/statusor.h>

#include <config.pb.h>

namespace dandeliondock {

// Conversions between the domain types of the configuration and their messages. All functions are thread-safe; the
// decoders return InvalidMessage naming the field for everything that the schema allows but the domain does not.

[[nodiscard]] wire::Resource encodeResource(const Resource &resource);
[[nodiscard]] wire::Ticket encodeTicket(const Ticket &ticket);
[[nodiscard]] wire::Revision encodeRevision(const Revision &revision);
[[nodiscard]] wire::ConfigState encodeState(const ConfigState &state);

[[nodiscard]] absl::StatusOr<Resource> decodeResource(const wire::Resource &message);
[[nodiscard]] absl::StatusOr<Ticket> decodeTicket(const wire::Ticket &message);
[[nodiscard]] absl::StatusOr<Revision> decodeRevision(const wire::Revision &message);
[[nodiscard]] absl::StatusOr<ConfigState> decodeState(const wire::ConfigState &message);

} // namespace dandeliondock
