#include <dandeliondock/core/metrics.h>

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {

// Guards against a metrics page that Prometheus cannot parse or that omits a reason.
TEST_CASE("the metrics page lists every counter by reason", "[core]")
{
    MetricsRegistry metrics;
    metrics.counter("refusals_total", "overloaded").add(2);
    metrics.counter("refusals_total", "no_target").add();
    metrics.gauge("children").set(3);
    CHECK(metrics.renderPrometheus()
          == "# TYPE refusals_total counter\n"
             "refusals_total{reason=\"no_target\"} 1\n"
             "refusals_total{reason=\"overloaded\"} 2\n"
             "# TYPE children gauge\n"
             "children 3\n");
}

// Guards against labels that are rendered under the name of another one.
TEST_CASE("a counter keeps the name of its label", "[core]")
{
    MetricsRegistry metrics;
    metrics.counter("bytes_total", MetricLabel{"table", "op"}).add(3);
    metrics.counter("bytes_total", MetricLabel{"table", "shared"}).add(4);
    CHECK(metrics.counter("bytes_total", MetricLabel{"table", "op"}).value() == 3);
    CHECK(metrics.renderPrometheus()
          == "# TYPE bytes_total counter\n"
             "bytes_total{table=\"op\"} 3\n"
             "bytes_total{table=\"shared\"} 4\n");
}

// Guards against a quantile that is wrong by more than one bucket; latency figures depend on it.
TEST_CASE("a quantile is the upper edge of the bucket that contains it", "[core]")
{
    rc::prop("at most one bucket above the exact value", [] {
        const auto micros = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(20, 1'000'000)));
        LatencyHistogram histogram;
        for (const int value : micros)
            histogram.record(Microseconds(value));
        std::vector<int> sorted = micros;
        std::sort(sorted.begin(), sorted.end());
        const double median = sorted[(sorted.size() - 1) / 2];
        const double reported = static_cast<double>(histogram.quantile(0.5).count());
        constexpr double bucketRatio = 1.2590; // ten buckets per decade
        RC_ASSERT(reported >= median - 1);
        RC_ASSERT(reported <= median * bucketRatio + 1);
        RC_ASSERT(histogram.count() == micros.size());
    });
}

// Guards against latencies outside the range of the buckets that are missing from the count.
TEST_CASE("latencies outside the range of the buckets are counted", "[core]")
{
    LatencyHistogram histogram;
    histogram.record(Microseconds(1));
    histogram.record(Seconds(500));
    CHECK(histogram.count() == 2);
    std::string page;
    histogram.renderPrometheus("latency_seconds", page);
    CHECK(page.find("latency_seconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
}

} // namespace dandeliondock
