#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/http/transfer_hooks.h>

#include <map>
#include <optional>

namespace dandeliondock {

/// \brief Granted bytes that the link still has to carry delay each short response; further ones are granted only below
/// this time.
inline constexpr Milliseconds maxLinkBacklog{5};
/// \brief The transfers ahead of a response may take one part in this many of the time until its deadline. The rest is
/// for the target's work, for the link of the caller's instance, and for callers that were refused once and come back.
inline constexpr int linkWaitDivisor = 2;
/// \brief Time that the link needs for the bytes of one grant, within the bounds of the size of a grant.
inline constexpr Milliseconds grantTime{20};
inline constexpr ByteCount minGrant{16'384};
inline constexpr ByteCount maxGrant{65'536};

/// \brief Bytes granted to one transfer.
struct TransferGrant
{
    TransferId transfer;
    ByteCount bytes;

    bool operator==(const TransferGrant &) const = default;
};

/// \brief Whether the link can deliver a response in time.
struct LinkAdmission
{
    bool isAdmitted = true;
    Microseconds retryAfter{0}; ///< if not admitted: time after which it could be
};

/// \brief Order of the responses on an instance's own link.
///
/// Load pattern: long responses of a target take more than the link carries. Short responses, which are mostly results
/// of calls made by running requests, would wait behind all of them and time out. The schedule grants long responses
/// only as many bytes as the link carries, one response after the other, so that a short response waits for one grant
/// at most; and it tells when a response that is promised now would be delivered, so that one that comes too late is
/// refused before a target works for it.
///
/// \remark Not thread-safe.
class LinkSchedule
{
public:
    /// \param rate rate of the link; 0 stands for an unlimited one.
    explicit LinkSchedule(DataRate rate);

    /// \brief Records bytes that were written without a grant.
    void recordWritten(ByteCount bytes, MonotonicTime now);

    /// \brief Adds a long response of this size behind all others.
    [[nodiscard]] TransferId begin(ByteCount size);

    /// \brief Records that the connection of a transfer can take further bytes.
    /// \pre \c id was begun and has not ended.
    void request(TransferId id);

    /// \brief Grants bytes to the oldest transfer that requested them; empty while the link is busy or none did.
    [[nodiscard]] std::optional<TransferGrant> grant(MonotonicTime now);

    /// \brief Returns when grant() returns a grant at the earliest; empty while no transfer requests one.
    [[nodiscard]] std::optional<MonotonicTime> nextGrantAt() const;

    /// \brief Removes a transfer that is complete or was given up. Has no effect on an unknown one.
    void end(TransferId id);

    /// \brief Decides whether the link can deliver a response by \c deadline behind everything that is promised
    /// already. A response that is short, or the only one, is always admitted.
    [[nodiscard]] LinkAdmission admit(ByteCount response, MonotonicTime deadline, MonotonicTime now) const noexcept;

    /// \brief Reserves the link for a response that a request in progress is expected to have.
    void reserve(ByteCount response) noexcept;

    /// \brief Ends a reservation.
    /// \pre reserve() was called with the same size.
    void release(ByteCount response) noexcept;

    /// \brief Returns the time that the link needs for everything that is granted, queued or reserved.
    [[nodiscard]] Microseconds backlog(MonotonicTime now) const noexcept;

    /// \brief Returns the time that the link needs for this many bytes.
    [[nodiscard]] Microseconds transferTime(ByteCount bytes) const noexcept;

private:
    struct Transfer
    {
        std::uint64_t remaining = 0;
        bool isRequested = false;
    };

    [[nodiscard]] std::uint64_t grantSize() const noexcept;
    void occupy(ByteCount bytes, MonotonicTime now);

    DataRate m_rate;
    MonotonicTime m_freeAt; ///< when the link has carried all written and granted bytes
    std::map<TransferId, Transfer> m_transfers;
    std::uint64_t m_lastTransfer = 0;
    std::uint64_t m_queued = 0;   ///< bytes of transfers that are not granted
    std::uint64_t m_reserved = 0; ///< bytes of expected responses
};

} // namespace dandeliondock
