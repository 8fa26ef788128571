#include <dandeliondock/distribution/backoff.h>

#include <algorithm>

namespace dandeliondock {

Backoff::Backoff(RandomSource random, Milliseconds base, Milliseconds cap)
    : m_random(std::move(random)), m_base(base), m_cap(cap), m_limit(base)
{
}

Milliseconds Backoff::next()
{
    const auto bound = static_cast<std::uint64_t>(m_limit.count()) + 1;
    m_limit = std::min(m_cap, m_limit * 2);
    return Milliseconds(uniformBelow(m_random, bound));
}

} // namespace dandeliondock
