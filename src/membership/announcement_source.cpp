#include <dandeliondock/membership/announcement_source.h>

#include <dandeliondock/membership/endpoint_directory.h>

namespace dandeliondock {

namespace {

EndpointStamp nextLife(Incarnation last, EndpointState state)
{
    return {Incarnation(last.value() + 1), SequenceNumber(0), state};
}

} // namespace

std::optional<Endpoint> EndpointAnnouncer::report(EndpointState state)
{
    EndpointStamp &stamp = m_current.stamp;
    if (state == stamp.state)
        return std::nullopt;
    if (isTerminal(stamp.state) && !isTerminal(state))
        stamp = nextLife(stamp.incarnation, state);
    else
        stamp = {stamp.incarnation, SequenceNumber(stamp.sequence.value() + 1), state};
    return m_current;
}

std::optional<Endpoint> EndpointAnnouncer::observe(const Endpoint &seen)
{
    if (seen.target != m_current.target || seen.stamp <= m_current.stamp)
        return std::nullopt;
    // A target that is leaving or gone has nothing to refute in a "gone" of its own incarnation.
    if (isTerminal(m_current.stamp.state) && isTerminal(seen.stamp.state))
        return std::nullopt;
    m_current.stamp = nextLife(seen.stamp.incarnation, m_current.stamp.state);
    return m_current;
}

} // namespace dandeliondock
