#include <dandeliondock/http/cancellation_token.h>

#include <curl/curl.h>

namespace dandeliondock {

void CancellationToken::cancel()
{
    const std::scoped_lock lock(m_mutex);
    m_isCancelled = true;
    if (m_multi != nullptr)
        curl_multi_wakeup(m_multi);
}

void CancellationToken::reset()
{
    const std::scoped_lock lock(m_mutex);
    m_isCancelled = false;
}

bool CancellationToken::isCancelled() const
{
    const std::scoped_lock lock(m_mutex);
    return m_isCancelled;
}

} // namespace dandeliondock
