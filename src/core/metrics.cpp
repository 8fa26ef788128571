#include <dandeliondock/core/metrics.h>

#include <absl/strings/str_cat.h>

#include <cmath>

namespace dandeliondock {

namespace {

constexpr unsigned latencyBuckets = 70; // ten for each factor of ten
constexpr double lowestSeconds = 1e-5;
constexpr double highestSeconds = 100;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(latencyBuckets, lowestSeconds, highestSeconds)))
{
}

void LatencyHistogram::record(Microseconds latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    const std::scoped_lock lock(m_mutex);
    m_histogram(seconds);
    m_sumSeconds += seconds;
}

Microseconds LatencyHistogram::quantile(double quantile) const
{
    const std::scoped_lock lock(m_mutex);
    const double total = boost::histogram::algorithm::sum(m_histogram);
    if (total == 0)
        return Microseconds{0};
    const Axis &axis = m_histogram.axis();
    double seen = 0;
    for (int index = -1; index < axis.size(); ++index) {
        seen += m_histogram.at(index);
        if (seen >= quantile * total)
            return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(axis.value(index + 1)));
    }
    return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(highestSeconds));
}

std::uint64_t LatencyHistogram::count() const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::uint64_t>(boost::histogram::algorithm::sum(m_histogram));
}

void LatencyHistogram::print(absl::string_view name, std::string &out) const
{
    const std::scoped_lock lock(m_mutex);
    const Axis &axis = m_histogram.axis();
    absl::StrAppend(&out, "# TYPE ", name, " histogram\n");
    double seen = 0;
    for (int index = -1; index < axis.size(); ++index) {
        seen += m_histogram.at(index);
        absl::StrAppend(&out, name, "_bucket{le=\"", axis.value(index + 1), "\"} ", seen, "\n");
    }
    seen += m_histogram.at(axis.size());
    absl::StrAppend(&out, name, "_bucket{le=\"+Inf\"} ", seen, "\n");
    absl::StrAppend(&out, name, "_sum ", m_sumSeconds, "\n", name, "_count ", seen, "\n");
}

Counter &Metrics::counter(absl::string_view name, absl::string_view reason)
{
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<Counter> &slot = m_counters[{std::string(name), std::string(reason)}];
    if (!slot)
        slot = std::make_unique<Counter>();
    return *slot;
}

Gauge &Metrics::gauge(absl::string_view name)
{
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<Gauge> &slot = m_gauges[std::string(name)];
    if (!slot)
        slot = std::make_unique<Gauge>();
    return *slot;
}

LatencyHistogram &Metrics::latency(absl::string_view name)
{
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<LatencyHistogram> &slot = m_latencies[std::string(name)];
    if (!slot)
        slot = std::make_unique<LatencyHistogram>();
    return *slot;
}

std::string Metrics::page() const
{
    const std::scoped_lock lock(m_mutex);
    std::string out;
    std::string lastName;
    for (const auto &[key, counter] : m_counters) {
        const auto &[name, reason] = key;
        if (name != lastName)
            absl::StrAppend(&out, "# TYPE ", name, " counter\n");
        lastName = name;
        if (reason.empty())
            absl::StrAppend(&out, name, " ", counter->value(), "\n");
        else
            absl::StrAppend(&out, name, "{reason=\"", reason, "\"} ", counter->value(), "\n");
    }
    for (const auto &[name, gauge] : m_gauges)
        absl::StrAppend(&out, "# TYPE ", name, " gauge\n", name, " ", gauge->value(), "\n");
    for (const auto &[name, latency] : m_latencies)
        latency->print(name, out);
    return out;
}

} // namespace dandeliondock
