#include <dandeliondock/proxy/response_sizes.h>

namespace dandeliondock {

namespace {

constexpr double smoothing = 0.1;
constexpr std::size_t maxKnownRoutes = 4'096; // then all means are dropped; a few responses restore them

} // namespace

void ResponseSizes::record(const RouteName &route, std::size_t bytes)
{
    if (m_means.size() >= maxKnownRoutes)
        m_means.clear();
    const auto size = static_cast<double>(bytes);
    double &mean = m_means.try_emplace(route, size).first->second;
    mean += (size - mean) * smoothing;
}

ByteCount ResponseSizes::mean(const RouteName &route) const
{
    const auto known = m_means.find(route);
    return known == m_means.end() ? ByteCount{} : ByteCount(static_cast<std::uint64_t>(known->second));
}

void ResponseSizes::retain(const std::function<bool(const RouteName &)> &isKnown)
{
    absl::erase_if(m_means, [&isKnown](const auto &item) { return !isKnown(item.first); });
}

} // namespace dandeliondock
