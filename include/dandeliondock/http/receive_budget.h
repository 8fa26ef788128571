#pragma once

#include <dandeliondock/core/strong_type.h>
#include <dandeliondock/core/units.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Part of a process's memory that messages may use, in percent. The rest is for code, tables, log lines, the
/// buffers of connections and fragmentation: a proxy without requests uses 10 MB. Of 160 MB, messages get 88 MB, more
/// than a body of 64 MiB.
inline constexpr std::uint64_t messageMemoryPercent = 55;
/// \brief File descriptors that connections do not use: 200 are for files.
inline constexpr DescriptorCount reservedDescriptors{200};
/// \brief Memory of an open connection without a message; 400 idle ones took 1.3 MB.
inline constexpr ByteCount connectionOverhead{4'096};
/// \brief Time without progress after which a peer counts as stalled when the budget is exceeded.
inline constexpr Milliseconds stalledAfter{500};
/// \brief Time after which the mean rate of a sender is judged, and the rate below which it counts as slow.
inline constexpr Milliseconds rateJudgedAfter{1'000};
inline constexpr DataRate slowRate{65'536};
/// \brief Bytes of chunk framing that a body may have regardless of its length. Beyond them, the framing may be as long
/// as the body. Chunks of one byte have five bytes of framing, and each is parsed on its own: 48 such bodies took 2.6
/// CPU seconds within 4 s.
inline constexpr ByteCount freeFraming{131'072};

/// \brief Limits on what all connections of a process hold together.
struct ReceiveLimits
{
    ByteCount memory;
    ConnectionCount connections;

    bool operator==(const ReceiveLimits &) const = default;
};

/// \brief Returns the limits for a process with this much memory and this many file descriptors. Thread-safe.
[[nodiscard]] ReceiveLimits receiveLimitsFor(ByteCount memoryLimit, DescriptorCount descriptorLimit) noexcept;

/// \brief Whether the chunks of a body are so small that their framing is out of proportion. Thread-safe.
/// \param received bytes of the body with its framing.
[[nodiscard]] bool isFramingExcessive(ByteCount received, ByteCount body) noexcept;

/// \brief Identifies a connection in a ReceiveBudget; ids of removed connections are used again.
using HolderId = StrongType<struct HolderIdTag, std::size_t>;

/// \brief What a connection does.
enum class HolderActivity {
    Idle,              ///< waits for a request, or is kept by a client for its next request
    Closing,           ///< was refused or has had its last response
    Receiving,         ///< receives a request, which has not been passed on
    Handling,          ///< its requests are being processed
    Writing,           ///< writes a response as fast as its peer reads it
    Delayed,           ///< has a response that waits for this instance's link
    ReceivingResponse, ///< receives the response to a request of this process
};

/// \brief Returns the name of an activity for metrics and logs. Thread-safe.
[[nodiscard]] const char *holderActivityName(HolderActivity activity) noexcept;

/// \brief What a connection holds.
struct HolderStatus
{
    HolderActivity activity = HolderActivity::Idle;
    ByteCount bytes;
    MonotonicTime progressAt; ///< when its peer last sent or read bytes
};

/// \brief A connection that must be refused or closed.
struct ShedHolder
{
    HolderId id;
    HolderStatus status;
};

/// \brief Decides which connections are refused or closed when all of them together hold too much.
///
/// Load pattern: clients that nobody controls send many large bodies at once and stall just short of their end, or
/// leave large responses unread. Memory is bounded whatever they do. When the bound is reached, those go first that
/// cost ordinary callers nothing: stalled senders and readers before slow ones, slow ones before those that make
/// progress, large before small, and requests before responses, whose work is done. Complete requests are never chosen,
/// because a target may be working on them; what they hold keeps further requests out. When there are too many
/// connections, idle ones are closed first, those without any request before others and the longest idle first.
///
/// \remark Not thread-safe.
class ReceiveBudget
{
public:
    explicit ReceiveBudget(const ReceiveLimits &limits) : m_limits(limits) {}

    /// \brief Adds an idle connection.
    [[nodiscard]] HolderId add(MonotonicTime now);

    /// \brief Removes a connection, whether or not it was shed.
    /// \pre \c id was added and not removed.
    void remove(HolderId id);

    /// \brief Replaces what is known of a connection. Does nothing for one that was shed.
    void record(HolderId id, const HolderStatus &status);

    /// \brief Adds the bytes of a complete request, which are held until release().
    void charge(ByteCount bytes);
    void release(ByteCount bytes);

    /// \brief Whether the limit of the memory still holds with this many more bytes.
    [[nodiscard]] bool fits(ByteCount bytes) const noexcept;

    /// \brief Whether a limit is exceeded.
    [[nodiscard]] bool isExceeded() const noexcept;

    /// \brief Returns the connections to refuse or close, so that the limits hold again as far as possible. They do not
    /// count any more.
    [[nodiscard]] std::vector<ShedHolder> shed(MonotonicTime now);

    /// \brief Bytes held at present.
    [[nodiscard]] ByteCount held() const noexcept { return ByteCount(m_heldBytes + m_chargedBytes); }
    [[nodiscard]] ConnectionCount connections() const noexcept { return ConnectionCount(m_connections); }

private:
    struct Holder
    {
        HolderStatus status;
        MonotonicTime since;     ///< when the activity began
        bool hasHandled = false; ///< a request of the connection was complete
        bool isOpen = false;
    };

    [[nodiscard]] static bool isStalled(const Holder &holder, MonotonicTime now);
    [[nodiscard]] static bool isSlow(const Holder &holder, MonotonicTime now);
    [[nodiscard]] static std::optional<int> memoryRank(const Holder &holder, MonotonicTime now);
    [[nodiscard]] static std::optional<int> connectionRank(const Holder &holder, MonotonicTime now);
    void shedForMemory(MonotonicTime now, std::vector<ShedHolder> &shed);
    void shedForConnections(MonotonicTime now, std::vector<ShedHolder> &shed);
    [[nodiscard]] ShedHolder take(std::size_t index);

    ReceiveLimits m_limits;
    std::vector<Holder> m_holders;
    std::vector<std::size_t> m_free; ///< places of m_holders that are not in use
    std::uint64_t m_heldBytes = 0;
    std::uint64_t m_chargedBytes = 0;
    std::uint32_t m_connections = 0;
};

} // namespace dandeliondock
