#pragma once

#include <dandeliondock/core/strong_type.h>
#include <dandeliondock/core/units.h>

#include <functional>

namespace dandeliondock {

/// \brief Id of the transfer of one long response.
using TransferId = StrongType<struct TransferIdTag, std::uint64_t>;

/// \brief Responses up to this size are written at once.
inline constexpr ByteCount maxShortResponse{16'384};

/// \brief Hooks with which a server asks when it may write the next bytes of a long response. Called on the loop's
/// thread.
struct TransferHooks
{
    /// A response was written at once; it is short or urgent.
    std::function<void(ByteCount)> onWritten;
    /// Registers a long response of this size.
    std::function<TransferId(ByteCount)> begin;
    /// Calls the handler once, now or later, with the number of bytes that may be written next; not after end().
    std::function<void(TransferId, std::function<void(ByteCount)>)> awaitGrant;
    /// The response is written, or its connection has ended.
    std::function<void(TransferId)> end;
};

} // namespace dandeliondock
