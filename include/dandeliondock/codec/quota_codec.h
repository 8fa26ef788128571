#pragma once

#include <dandeliondock/quotas/quota_messages.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstddef>
#include <string>

namespace dandeliondock {

/// \brief Largest number of accounts in a message.
inline constexpr std::size_t maxQuotaAccounts = 4'096;

// Conversions of the quota messages between proxies, to and from bytes. All functions are thread-safe. The decoders
// return InvalidMessage if the bytes cannot be parsed, an address or a name is invalid, or a number is out of range.
// Encoding rounds rates to 1/1000 and amounts to whole requests.

[[nodiscard]] std::string encodeQuotaReport(const QuotaReport &report);
[[nodiscard]] absl::StatusOr<QuotaReport> decodeQuotaReport(absl::string_view bytes);

[[nodiscard]] std::string encodeQuotaGrants(const QuotaGrants &grants);
[[nodiscard]] absl::StatusOr<QuotaGrants> decodeQuotaGrants(absl::string_view bytes);

[[nodiscard]] std::string encodeQuotaSums(const QuotaSums &sums);
[[nodiscard]] absl::StatusOr<QuotaSums> decodeQuotaSums(absl::string_view bytes);

} // namespace dandeliondock
