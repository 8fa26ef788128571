#pragma once

#include <mutex>

namespace dandeliondock {

/// \brief Ends a request in progress from another thread.
///
/// \remark Every method is thread-safe. It serves one request at a time and must outlive it.
class CancellationToken
{
public:
    /// \brief Ends the request in progress, or the next one that is sent before reset().
    void cancel();

    /// \brief Allows requests again.
    void reset();

    [[nodiscard]] bool isCancelled() const;

private:
    friend class CancellationScope;

    mutable std::mutex m_mutex;
    bool m_raised = false;
    void *m_multi = nullptr; ///< the library's handle of the request in progress
};

} // namespace dandeliondock
