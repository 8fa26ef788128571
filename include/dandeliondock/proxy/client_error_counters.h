#pragma once

#include <dandeliondock/core/ids.h>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace dandeliondock {

/// \brief Number of revisions whose responses are counted one by one; bounds the metrics page while the operator
/// changes the configuration often.
inline constexpr std::size_t countedRevisions = 8;

/// \brief Counts the responses with a status from 300 to 499 that the proxy itself gave, by reason, status and the
/// revision of the configuration that decided.
///
/// Those of the newest revisions are counted one by one, those of earlier ones under the revision "older".
///
/// \remark Not thread-safe.
class ClientErrorCounters
{
public:
    void add(absl::string_view reason, int status, RevisionNumber revision);

    /// \brief Appends the counters in the Prometheus text format; nothing if none was counted.
    void renderPrometheus(std::string &out) const;

private:
    using Kind = std::tuple<std::string, int>; ///< reason and status
    using Counts = std::map<Kind, std::uint64_t>;

    std::map<RevisionNumber, Counts> m_counts;
    Counts m_older;
};

} // namespace dandeliondock
