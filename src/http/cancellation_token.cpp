#include <dandeliondock/http/cancellation_token.h>

#include <curl/curl.h>

namespace dandeliondock {

void CallInterrupt::raise()
{
    const std::scoped_lock lock(m_mutex);
    m_raised = true;
    if (m_multi != nullptr)
        curl_multi_wakeup(m_multi);
}

void CallInterrupt::reset()
{
    const std::scoped_lock lock(m_mutex);
    m_raised = false;
}

bool CallInterrupt::isRaised() const
{
    const std::scoped_lock lock(m_mutex);
    return m_raised;
}

} // namespace dandeliondock
