#pragma once

#include <dandeliondock/core/units.h>

#include <absl/strings/string_view.h>

#include <boost/histogram.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace dandeliondock {

/// \brief A metric that only increases. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1) noexcept { m_value.fetch_add(amount, std::memory_order_relaxed); }

    [[nodiscard]] std::uint64_t value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// \brief A metric that can increase and decrease. Thread-safe.
class Gauge
{
public:
    void set(std::int64_t value) noexcept { m_value.store(value, std::memory_order_relaxed); }

    void add(std::int64_t amount) noexcept { m_value.fetch_add(amount, std::memory_order_relaxed); }

    [[nodiscard]] std::int64_t value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// \brief Histogram of latencies with logarithmic buckets from 10 us to 100 s. Thread-safe.
class LatencyHistogram
{
public:
    LatencyHistogram();

    /// \brief Records a latency without a lock; a reader may see it in the buckets before it is in the sum.
    void record(Microseconds latency);

    /// \brief Returns the upper edge of the bucket that contains the quantile; zero when nothing was recorded.
    /// \pre 0 < \c quantile <= 1.
    [[nodiscard]] Microseconds quantile(double quantile) const;

    [[nodiscard]] std::uint64_t count() const;

    /// \brief Appends the buckets in the Prometheus text format.
    void renderPrometheus(absl::string_view name, std::string &out) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    // Atomic buckets, so that the connection threads of a node do not contend for a lock.
    using Buckets = boost::histogram::dense_storage<boost::histogram::accumulators::thread_safe<std::uint64_t>>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, Buckets>;

    [[nodiscard]] std::uint64_t bucket(int index) const;

    Histogram m_histogram;
    std::atomic<std::int64_t> m_sumMicroseconds{0};
};

/// \brief Name and value of a label of a metric.
struct MetricLabel
{
    absl::string_view name;
    absl::string_view value;
};

/// \brief Registry of the counters, gauges and histograms of a process.
///
/// \remark Every method is thread-safe. Returned references stay valid as long as the registry exists.
class MetricsRegistry
{
public:
    /// \brief Returns the counter \c name whose label "reason" has the value \c reason, or that has no label when
    /// \c reason is empty; created by the first call.
    /// \pre \c name is in snake case and ends in _total.
    [[nodiscard]] Counter &counter(absl::string_view name, absl::string_view reason = {});

    /// \brief Returns the counter \c name with a label; created by the first call.
    /// \pre \c name is in snake case and ends in _total; the value of the label has no quotes, backslashes or line
    /// ends.
    [[nodiscard]] Counter &counter(absl::string_view name, const MetricLabel &label);

    [[nodiscard]] Gauge &gauge(absl::string_view name);

    [[nodiscard]] LatencyHistogram &histogram(absl::string_view name);

    /// \brief Returns all metrics in the Prometheus text format: counters, gauges and histograms, each sorted by name.
    [[nodiscard]] std::string renderPrometheus() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Counter>> m_counters; ///< by name and label
    std::map<std::string, std::unique_ptr<Gauge>> m_gauges;
    std::map<std::string, std::unique_ptr<LatencyHistogram>> m_histograms;
};

} // namespace dandeliondock
