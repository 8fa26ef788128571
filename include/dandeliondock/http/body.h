#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace dandeliondock {

/// \brief Immutable bytes of a message body. Copies share the bytes, so that a body is held once on its way through a
/// process, however many attempts refer to it.
///
/// \remark Thread-safe like a std::shared_ptr to a constant: copies may be used and destroyed on different threads.
class HttpBody
{
public:
    HttpBody() = default;
    HttpBody(std::string text) : HttpBody(std::move(text), nullptr) {}
    HttpBody(const char *text) : HttpBody(std::string(text)) {}

    /// \param charge released with the last copy of the body; it accounts for the memory that the body uses.
    HttpBody(std::string text, std::shared_ptr<const void> charge)
        : m_content(std::make_shared<const Content>(Content{std::move(text), std::move(charge)}))
    {
    }

    /// \brief Returns the bytes; the reference is valid while a copy of this body exists.
    [[nodiscard]] const std::string &text() const noexcept { return m_content ? m_content->text : noText(); }

    operator const std::string &() const noexcept { return text(); }

    [[nodiscard]] std::size_t size() const noexcept { return text().size(); }
    [[nodiscard]] bool empty() const noexcept { return text().empty(); }

private:
    struct Content
    {
        std::string text;
        std::shared_ptr<const void> charge;
    };

    [[nodiscard]] static const std::string &noText() noexcept
    {
        static const std::string text;
        return text;
    }

    std::shared_ptr<const Content> m_content; ///< null: no bytes
};

} // namespace dandeliondock
