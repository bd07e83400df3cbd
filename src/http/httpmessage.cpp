#include "http/httpmessage.h"

#include <algorithm>
#include <array>

namespace Hibiscus
{

namespace
{

constexpr int kStatusContinue = 100;
constexpr int kStatusOk = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

/** Lower case of an ASCII letter. Field names are ASCII, and the result must not depend on the locale. */
constexpr char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

} // namespace

bool sameHeaderName(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    for (std::size_t i = 0; i < a.size(); ++i) {
        if (lowerCase(a[i]) != lowerCase(b[i])) {
            return false;
        }
    }
    return true;
}

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> kNames{
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    };
    return std::any_of(kNames.begin(), kNames.end(),
                       [name](std::string_view candidate) { return sameHeaderName(candidate, name); });
}

bool isInterimStatus(int status)
{
    return status >= kStatusContinue && status < kStatusOk;
}

bool isBodilessStatus(int status)
{
    return isInterimStatus(status) || status == kStatusNoContent || status == kStatusNotModified;
}

bool isHeadMethod(std::string_view method)
{
    return method == "HEAD";
}

void HttpHeaders::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

void HttpHeaders::set(std::string_view name, std::string value)
{
    remove(name);
    fields_.emplace_back(std::string(name), std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(fields_, [name](const Field &field) { return sameHeaderName(field.first, name); });
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const Field &field : fields_) {
        if (sameHeaderName(field.first, name)) {
            return field.second;
        }
    }
    return std::nullopt;
}

std::size_t HttpHeaders::heldBytes() const
{
    std::size_t bytes = fields_.capacity() * sizeof(Field);
    for (const Field &field : fields_) {
        bytes += field.first.size() + field.second.size();
    }
    return bytes;
}

} // namespace Hibiscus
