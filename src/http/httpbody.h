#ifndef HIBISCUS_HTTP_HTTPBODY_H
#define HIBISCUS_HTTP_HTTPBODY_H

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace Hibiscus
{

/** Body of a request that doesn't change. Copies share the bytes, since a large one has room in memory only once. */
class HttpBody
{
public:
    HttpBody() = default;
    HttpBody(std::string text)
        : text_(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text)))
    {
    }
    HttpBody(const char *text)
        : HttpBody(std::string(text))
    {
    }

    const std::string &text() const
    {
        static const std::string none;
        return text_ ? *text_ : none;
    }
    operator const std::string &() const
    {
        return text();
    }
    std::size_t size() const
    {
        return text_ ? text_->size() : 0;
    }
    bool empty() const
    {
        return size() == 0;
    }

    friend bool operator==(const HttpBody &body, std::string_view other)
    {
        return body.text() == other;
    }

private:
    std::shared_ptr<const std::string> text_; ///< Null if empty.
};

} // namespace Hibiscus

#endif
