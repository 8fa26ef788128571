#pragma once

#include <dandeliondock/membership/endpoint.h>

#include <optional>

namespace dandeliondock {

/// \brief What the node beside a target announces of it.
///
/// \remark Not thread-safe.
class EndpointAnnouncer
{
public:
    /// \pre \c self carries the incarnation of this process; its state is Starting.
    explicit EndpointAnnouncer(Endpoint self) : m_current(std::move(self)) {}

    /// \brief The record in force.
    [[nodiscard]] const Endpoint &current() const noexcept { return m_current; }

    /// \brief Reports the target's state.
    ///
    /// \return The record to announce; empty when nothing changed. A target that starts again after leaving or being
    /// gone begins a new incarnation.
    std::optional<Endpoint> report(EndpointState state);

    /// \brief Takes in what others say of the own target.
    ///
    /// \return A record of a higher incarnation when they hold something newer that this node did not announce.
    std::optional<Endpoint> observe(const Endpoint &seen);

private:
    Endpoint m_current;
};

} // namespace dandeliondock
