#pragma once

#include "beast_message.h"

#include <dandeliondock/http/async_server.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace dandeliondock::impl {

class ServerSession;

// Bytes of the head of a response, for the account of what is held and written.
inline constexpr std::uint64_t assumedHeadSize = 300;

/// \brief A request that a session has read, until its response is written, or until it is aborted or cancelled.
class SessionRequest : public HttpRequestContext
{
public:
    /// \param headCharge accounts for \c headMemory as long as the request or its handler refers to this object.
    SessionRequest(HttpRequest request, ByteCount headMemory, std::shared_ptr<const void> headCharge, bool keepAlive,
                   unsigned version)
        : m_request(std::move(request)),
          m_receivedBytes(m_request.body.size() + std::max<std::size_t>(headReadSize, headMemory.value())),
          m_headCharge(std::move(headCharge)), m_keepAlive(keepAlive), m_version(version),
          m_isHead(m_request.method == "HEAD")
    {
    }

    /// \brief Must be called before the request is handed to the handler.
    void begin(std::shared_ptr<ServerSession> session, bool isConcurrent)
    {
        m_session = std::move(session);
        m_arrivedAt = EventLoop::now();
        m_isConcurrent = isConcurrent;
    }

    const HttpRequest &request() const noexcept override { return m_request; }
    HttpRequest &request() noexcept override { return m_request; }
    MonotonicTime arrivedAt() const noexcept override { return m_arrivedAt; }

    void respond(HttpResponse response) override;

    void abort() override;

    void onCancelled(std::function<void()> hook) override { m_onCancelled = std::move(hook); }

    void notifyCancelled()
    {
        m_session.reset();
        if (const auto hook = std::exchange(m_onCancelled, nullptr))
            hook();
    }

    /// \brief Keeps the response until it can be written, and frees the request.
    void holdResponse(HttpResponse response)
    {
        m_request.headers = {};
        m_request.body = {};
        m_headCharge.reset();
        m_responseBytes = response.body.size() + std::max(assumedHeadSize, response.headers.memory().value());
        m_response = std::move(response);
    }

    [[nodiscard]] HttpResponse takeResponse() { return *std::exchange(m_response, std::nullopt); }

    [[nodiscard]] bool hasResponse() const noexcept { return m_response.has_value(); }
    [[nodiscard]] std::size_t heldBytes() const noexcept { return m_response ? m_responseBytes : m_receivedBytes; }
    [[nodiscard]] bool isConcurrent() const noexcept { return m_isConcurrent; }
    [[nodiscard]] bool keepAlive() const noexcept { return m_keepAlive; }
    [[nodiscard]] unsigned version() const noexcept { return m_version; }
    /// \brief Whether the response has no body. The handler may have moved the method out of the request.
    [[nodiscard]] bool isHead() const noexcept { return m_isHead; }

private:
    std::shared_ptr<ServerSession> m_session;
    HttpRequest m_request;
    std::optional<HttpResponse> m_response; ///< ready, and waiting for the responses before it
    std::size_t m_receivedBytes;
    std::size_t m_responseBytes = 0;
    std::shared_ptr<const void> m_headCharge;
    MonotonicTime m_arrivedAt;
    bool m_isConcurrent = false;
    bool m_keepAlive;
    unsigned m_version;
    bool m_isHead;
    std::function<void()> m_onCancelled;
};

} // namespace dandeliondock::impl
