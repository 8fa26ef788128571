#pragma once

#include <dandeliondock/http/receive_budget.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace dandeliondock {

class SharedReceiveEntry;

/// \brief What all connections of an account hold.
struct ReceiveTotals
{
    ByteCount held;
    ConnectionCount connections;
};

/// \brief Connects connections that threads serve to one ReceiveBudget, for all servers of a process.
///
/// A shed connection frees its memory on its own thread, a moment later. Connections that receive wait for it when the
/// limit would be exceeded otherwise.
///
/// \remark Every method is thread-safe. Entries and charges keep the account alive.
class SharedReceiveAccount : public std::enable_shared_from_this<SharedReceiveAccount>
{
public:
    /// \brief Called for each connection that is refused or closed, for metrics and logs; by many threads at once.
    using ShedHook = std::function<void(const ShedHolder &, const ReceiveTotals &)>;

    explicit SharedReceiveAccount(const ReceiveLimits &limits, ShedHook onShed = {})
        : m_limits(limits), m_budget(limits), m_onShed(std::move(onShed))
    {
    }

    /// \brief Adds a connection. It may be shed at once.
    /// \param shed called at most once, by any thread, with what the connection did. Must not block and must not use
    /// the account; it is not called after the entry was destroyed.
    [[nodiscard]] std::shared_ptr<SharedReceiveEntry> open(std::function<void(HolderActivity)> shed);

    /// \brief Accounts for the bytes of a complete request until the result is destroyed.
    [[nodiscard]] std::shared_ptr<const void> charge(ByteCount bytes);

    [[nodiscard]] ReceiveTotals totals() const;

private:
    friend class SharedReceiveEntry;

    void release(ByteCount bytes);
    [[nodiscard]] std::vector<ShedHolder> enforce();
    void report(const std::vector<ShedHolder> &shed) const;
    [[nodiscard]] bool fits() const;

    const ReceiveLimits m_limits;
    mutable std::mutex m_mutex;
    std::condition_variable m_memoryFreed;
    ReceiveBudget m_budget;
    std::uint64_t m_unfreedBytes = 0;            ///< of shed connections whose threads have not freed them
    std::vector<SharedReceiveEntry *> m_entries; ///< by the value of their HolderId; null where there is none
    ShedHook m_onShed;
};

/// \brief A connection's entry in the account; destroying it removes the connection.
class SharedReceiveEntry
{
public:
    SharedReceiveEntry(std::shared_ptr<SharedReceiveAccount> account, std::function<void(HolderActivity)> shed);
    ~SharedReceiveEntry();
    SharedReceiveEntry(const SharedReceiveEntry &) = delete;
    SharedReceiveEntry &operator=(const SharedReceiveEntry &) = delete;

    /// \brief Records what the connection does and holds. While it receives, this blocks for up to a second until shed
    /// connections have freed their memory.
    /// \return False if the connection must be refused or closed.
    [[nodiscard]] bool record(HolderActivity activity, ByteCount bytes);

    /// \brief States that a shed connection has freed its memory. The destructor does so otherwise.
    void setFreed();

    [[nodiscard]] bool isShed() const noexcept { return m_isShed; }

private:
    friend class SharedReceiveAccount;

    void freeLocked();

    std::shared_ptr<SharedReceiveAccount> m_account;
    HolderId m_id;
    std::function<void(HolderActivity)> m_shed;
    std::atomic<bool> m_isShed{false};
    std::uint64_t m_unfreedBytes = 0;
};

} // namespace dandeliondock
