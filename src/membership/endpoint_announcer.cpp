#include <dandeliondock/membership/endpoint_announcer.h>

#include <dandeliondock/membership/endpoint_directory.h>

namespace dandeliondock {

namespace {

EndpointStamp stampOfNextIncarnation(Incarnation last, EndpointState state)
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
        stamp = stampOfNextIncarnation(stamp.incarnation, state);
    else
        stamp = {stamp.incarnation, SequenceNumber(stamp.sequence.value() + 1), state};
    return m_current;
}

std::optional<Endpoint> EndpointAnnouncer::observe(const Endpoint &received)
{
    if (received.target != m_current.target || received.stamp <= m_current.stamp)
        return std::nullopt;
    // The local target is Leaving or Gone as well, so the received record needs no refutation.
    if (isTerminal(m_current.stamp.state) && isTerminal(received.stamp.state))
        return std::nullopt;
    m_current.stamp = stampOfNextIncarnation(received.stamp.incarnation, m_current.stamp.state);
    return m_current;
}

} // namespace dandeliondock
