#include <dandeliondock/core/metrics.h>

#include <absl/strings/str_cat.h>

#include <cmath>

namespace dandeliondock {

namespace {

constexpr unsigned latencyBuckets = 70; // ten per decade
constexpr double lowestSeconds = 1e-5;
constexpr double highestSeconds = 100;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(std::make_tuple(Axis(latencyBuckets, lowestSeconds, highestSeconds)), Buckets())
{
}

void LatencyHistogram::record(Microseconds latency)
{
    m_histogram(std::chrono::duration<double>(latency).count());
    m_sumMicroseconds.fetch_add(latency.count(), std::memory_order_relaxed);
}

std::uint64_t LatencyHistogram::bucket(int index) const
{
    return m_histogram.at(index).load(std::memory_order_relaxed);
}

Microseconds LatencyHistogram::quantile(double quantile) const
{
    const auto total = static_cast<double>(count());
    if (total == 0)
        return Microseconds{0};
    const Axis &axis = m_histogram.axis();
    std::uint64_t cumulativeCount = 0;
    for (int index = -1; index < axis.size(); ++index) {
        cumulativeCount += bucket(index);
        if (static_cast<double>(cumulativeCount) >= quantile * total)
            return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(axis.value(index + 1)));
    }
    return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(highestSeconds));
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t total = 0;
    for (int index = -1; index <= m_histogram.axis().size(); ++index)
        total += bucket(index);
    return total;
}

void LatencyHistogram::renderPrometheus(absl::string_view name, std::string &out) const
{
    const Axis &axis = m_histogram.axis();
    absl::StrAppend(&out, "# TYPE ", name, " histogram\n");
    std::uint64_t cumulativeCount = 0;
    for (int index = -1; index < axis.size(); ++index) {
        cumulativeCount += bucket(index);
        absl::StrAppend(&out, name, "_bucket{le=\"", axis.value(index + 1), "\"} ", cumulativeCount, "\n");
    }
    cumulativeCount += bucket(axis.size());
    absl::StrAppend(&out, name, "_bucket{le=\"+Inf\"} ", cumulativeCount, "\n");
    const double sumSeconds = std::chrono::duration<double>(Microseconds(m_sumMicroseconds.load())).count();
    absl::StrAppend(&out, name, "_sum ", sumSeconds, "\n", name, "_count ", cumulativeCount, "\n");
}

Counter &MetricsRegistry::counter(absl::string_view name, absl::string_view reason)
{
    return counter(name, MetricLabel{"reason", reason});
}

Counter &MetricsRegistry::counter(absl::string_view name, const MetricLabel &label)
{
    const std::string labelText = label.value.empty() ? "" : absl::StrCat(label.name, "=\"", label.value, "\"");
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<Counter> &entry = m_counters[{std::string(name), labelText}];
    if (!entry)
        entry = std::make_unique<Counter>();
    return *entry;
}

Gauge &MetricsRegistry::gauge(absl::string_view name)
{
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<Gauge> &entry = m_gauges[std::string(name)];
    if (!entry)
        entry = std::make_unique<Gauge>();
    return *entry;
}

LatencyHistogram &MetricsRegistry::histogram(absl::string_view name)
{
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<LatencyHistogram> &entry = m_histograms[std::string(name)];
    if (!entry)
        entry = std::make_unique<LatencyHistogram>();
    return *entry;
}

std::string MetricsRegistry::renderPrometheus() const
{
    const std::scoped_lock lock(m_mutex);
    std::string out;
    std::string lastName;
    for (const auto &[key, counter] : m_counters) {
        const auto &[name, label] = key;
        if (name != lastName)
            absl::StrAppend(&out, "# TYPE ", name, " counter\n");
        lastName = name;
        if (label.empty())
            absl::StrAppend(&out, name, " ", counter->value(), "\n");
        else
            absl::StrAppend(&out, name, "{", label, "} ", counter->value(), "\n");
    }
    for (const auto &[name, gauge] : m_gauges)
        absl::StrAppend(&out, "# TYPE ", name, " gauge\n", name, " ", gauge->value(), "\n");
    for (const auto &[name, latencyHistogram] : m_histograms)
        latencyHistogram->renderPrometheus(name, out);
    return out;
}

} // namespace dandeliondock
