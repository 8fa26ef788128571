#include <dandeliondock/proxy/client_error_counters.h>

#include <absl/strings/str_cat.h>

namespace dandeliondock {

void ClientErrorCounters::add(absl::string_view reason, int status, RevisionNumber revision)
{
    const Kind kind(reason, status);
    const bool isFull = m_counts.size() >= countedRevisions;
    if (isFull && revision < m_counts.begin()->first) {
        ++m_older[kind];
        return;
    }
    ++m_counts[revision][kind];
    if (m_counts.size() <= countedRevisions)
        return;
    for (const auto &[oldKind, count] : m_counts.begin()->second)
        m_older[oldKind] += count;
    m_counts.erase(m_counts.begin());
}

void ClientErrorCounters::renderPrometheus(std::string &out) const
{
    const auto append = [&out](const Counts &counts, absl::string_view revision) {
        for (const auto &[kind, count] : counts) {
            const auto &[reason, status] = kind;
            absl::StrAppend(&out, "client_errors_total{reason=\"", reason, "\",status=\"", status, "\",revision=\"",
                            revision, "\"} ", count, "\n");
        }
    };
    if (m_counts.empty())
        return;
    absl::StrAppend(&out, "# TYPE client_errors_total counter\n");
    append(m_older, "older");
    for (const auto &[revision, counts] : m_counts)
        append(counts, absl::StrCat(revision.value()));
}

} // namespace dandeliondock
