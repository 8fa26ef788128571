#pragma once

#include <mutex>

namespace dandeliondock {

/// \brief Cancels a blocking request from another thread.
///
/// \remark Every method is thread-safe. A token can be used for one request at a time and must outlive it.
class CancellationToken
{
public:
    /// \brief Cancels the request in progress and every request that is sent before reset().
    void cancel();

    /// \brief Clears the cancellation, so that requests can be sent again.
    void reset();

    [[nodiscard]] bool isCancelled() const;

private:
    friend class CancellationScope;

    mutable std::mutex m_mutex;
    bool m_isCancelled = false;
    void *m_multi = nullptr; ///< libcurl handle of the request in progress; null without one
};

} // namespace dandeliondock
