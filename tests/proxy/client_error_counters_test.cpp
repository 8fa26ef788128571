#include <dandeliondock/proxy/client_error_counters.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

namespace dandeliondock {

// Guards against refusals at an outdated revision that cannot be told from those at the newest one.
TEST_CASE("client errors are counted by reason, status and revision", "[proxy]")
{
    ClientErrorCounters counters;
    std::string page;
    counters.renderPrometheus(page);
    CHECK(page.empty());
    counters.add("no_route", 404, RevisionNumber(7));
    counters.add("no_route", 404, RevisionNumber(7));
    counters.add("key_missing", 401, RevisionNumber(5));
    counters.renderPrometheus(page);
    CHECK(page
          == "# TYPE client_errors_total counter\n"
             "client_errors_total{reason=\"key_missing\",status=\"401\",revision=\"5\"} 1\n"
             "client_errors_total{reason=\"no_route\",status=\"404\",revision=\"7\"} 2\n");
}

// Guards against a metrics page that grows with each revision, and against counts that are lost with their revision or
// that give an older revision the place of a newer one.
TEST_CASE("client errors of earlier revisions are counted together", "[proxy]")
{
    ClientErrorCounters counters;
    const std::uint64_t newest = 3 * countedRevisions;
    for (std::uint64_t revision = 1; revision <= newest; ++revision)
        counters.add("no_route", 404, RevisionNumber(revision));
    counters.add("no_route", 404, RevisionNumber(1));
    std::string expected = "# TYPE client_errors_total counter\n";
    absl::StrAppend(&expected, "client_errors_total{reason=\"no_route\",status=\"404\",revision=\"older\"} ",
                    2 * countedRevisions + 1, "\n");
    for (std::uint64_t revision = newest - countedRevisions + 1; revision <= newest; ++revision)
        absl::StrAppend(&expected, "client_errors_total{reason=\"no_route\",status=\"404\",revision=\"", revision,
                        "\"} 1\n");
    std::string page;
    counters.renderPrometheus(page);
    CHECK(page == expected);
}

} // namespace dandeliondock
