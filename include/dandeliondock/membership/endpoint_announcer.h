#pragma once

#include <dandeliondock/membership/endpoint.h>

#include <optional>

namespace dandeliondock {

/// \brief Builds the records that a node announces for its local target.
///
/// \remark Not thread-safe.
class EndpointAnnouncer
{
public:
    /// \pre \c self has the incarnation of this process and the state Starting.
    explicit EndpointAnnouncer(Endpoint self) : m_current(std::move(self)) {}

    /// \brief The current record of the target.
    [[nodiscard]] const Endpoint &current() const noexcept { return m_current; }

    /// \brief Sets the target's state.
    ///
    /// \return The record to announce; empty when the state did not change. A target that starts again after Leaving or
    /// Gone gets a new incarnation.
    std::optional<Endpoint> report(EndpointState state);

    /// \brief Compares a record received from another node with the current one.
    ///
    /// \return A record with a higher incarnation, to be announced, when \c received is about the local target and
    /// newer than the current record. Empty otherwise, and when both records are Leaving or Gone.
    std::optional<Endpoint> observe(const Endpoint &received);

private:
    Endpoint m_current;
};

} // namespace dandeliondock
