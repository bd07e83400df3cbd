#include "http/bodyframing.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace Hibiscus
{

namespace
{

constexpr std::string_view kTransferEncoding = "Transfer-Encoding";
constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kChunked = "chunked";

std::ptrdiff_t countFields(const HttpHeaders &headers, std::string_view name)
{
    return std::count_if(headers.fields().begin(), headers.fields().end(),
                         [name](const HttpHeaders::Field &field) { return sameHeaderName(field.first, name); });
}

std::optional<std::uint64_t> parseLength(std::string_view text)
{
    std::uint64_t length = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, length);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(length) : std::nullopt;
}

} // namespace

ResponseResult<BodyFraming> framingOf(const HttpHeaders &headers, int minorVersion)
{
    const std::ptrdiff_t codings = countFields(headers, kTransferEncoding);
    const std::ptrdiff_t lengths = countFields(headers, kContentLength);
    if (codings + lengths > 1) {
        return tl::unexpected(codings > 0 ? ResponseFault::Coding : ResponseFault::Length);
    }
    if (const auto coding = headers.find(kTransferEncoding)) {
        // HTTP/1.0 has no transfer codings, so its recipients may read another body.
        if (minorVersion == 0 || !sameHeaderName(*coding, kChunked)) {
            return tl::unexpected(ResponseFault::Coding);
        }
        return BodyFraming{BodyEnd::LastChunk, 0};
    }
    if (const auto text = headers.find(kContentLength)) {
        const std::optional<std::uint64_t> length = parseLength(*text);
        return length ? ResponseResult<BodyFraming>(BodyFraming{BodyEnd::Length, *length})
                      : tl::unexpected(ResponseFault::Length);
    }
    return BodyFraming{BodyEnd::ConnectionEnd, 0};
}

} // namespace Hibiscus
