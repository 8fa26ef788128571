#pragma once

#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/http/receive_budget.h>

#include <functional>
#include <memory>
#include <vector>

namespace dandeliondock {

class ReceiveEntry;

/// \brief Connects the connections of all servers and clients of an event loop to one ReceiveBudget.
///
/// \remark Every method must be called on the loop's thread. Entries and charges may outlive the account's users.
class ReceiveAccount : public std::enable_shared_from_this<ReceiveAccount>
{
public:
    /// \param onShed called for each connection that is refused or closed, for metrics and logs.
    ReceiveAccount(EventLoop &loop, const ReceiveLimits &limits, std::function<void(const ShedHolder &)> onShed)
        : m_loop(loop), m_budget(limits), m_onShed(std::move(onShed))
    {
    }

    /// \brief Adds a connection.
    /// \param shed refuses or closes the connection; called at most once, from the loop and never from within a method
    /// of this class.
    [[nodiscard]] std::shared_ptr<ReceiveEntry> open(std::function<void()> shed);

    /// \brief Accounts for the bytes of a complete request until the result is destroyed, on any thread.
    /// \pre The loop exists until then.
    [[nodiscard]] std::shared_ptr<const void> charge(ByteCount bytes);

    /// \brief Does the same if the bytes fit into the bound, and returns null otherwise.
    [[nodiscard]] std::shared_ptr<const void> chargeIfFits(ByteCount bytes);

    [[nodiscard]] const ReceiveBudget &budget() const noexcept { return m_budget; }

private:
    friend class ReceiveEntry;

    void enforce();

    EventLoop &m_loop;
    ReceiveBudget m_budget;
    std::function<void(const ShedHolder &)> m_onShed;
    std::vector<std::weak_ptr<ReceiveEntry>> m_entries; ///< by the value of their HolderId
};

/// \brief A connection's entry in the account; destroying it removes the connection.
class ReceiveEntry
{
public:
    ReceiveEntry(std::shared_ptr<ReceiveAccount> account, HolderId id, std::function<void()> shed);
    ~ReceiveEntry();
    ReceiveEntry(const ReceiveEntry &) = delete;
    ReceiveEntry &operator=(const ReceiveEntry &) = delete;

    /// \brief Records what the connection does and holds.
    void record(const HolderStatus &status);

    /// \brief Whether the connection must be refused or closed. Its hook was called or will be.
    [[nodiscard]] bool isShed() const noexcept { return m_isShed; }

private:
    friend class ReceiveAccount;

    std::shared_ptr<ReceiveAccount> m_account;
    HolderId m_id;
    std::function<void()> m_shed;
    bool m_isShed = false;
};

} // namespace dandeliondock
