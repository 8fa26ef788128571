#include "session_request.h"

#include "server_session.h"

namespace dandeliondock::impl {

void SessionRequest::respond(HttpResponse response)
{
    m_onCancelled = nullptr;
    m_request.body = {}; // not needed while the response is written
    if (const auto session = std::exchange(m_session, nullptr))
        session->respond(this, std::move(response));
}

void SessionRequest::abort()
{
    m_onCancelled = nullptr;
    if (const auto session = std::exchange(m_session, nullptr))
        session->abort(this);
}

} // namespace dandeliondock::impl
