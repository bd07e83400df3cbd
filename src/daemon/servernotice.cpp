#include "daemon/servernotice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Hibiscus
{

namespace
{

bool occursTwice(const HttpHeaders &headers, std::string_view name)
{
    return std::count_if(headers.fields().begin(), headers.fields().end(),
                         [name](const HttpHeaders::Field &field) { return sameHeaderName(field.first, name); })
        > 1;
}

/** A decimal number of requests a second without sign or exponent; empty if @p text is not one. */
std::optional<RequestRate> parseRate(std::string_view text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!isNumber || !std::isfinite(value) || std::signbit(value)) {
        return std::nullopt;
    }
    return RequestRate{value};
}

} // namespace

ServerNotice parseServerNotice(const HttpHeaders &headers, const ServerNoticeFields &fields)
{
    ServerNotice notice;
    const auto rate = headers.find(fields.rateLimit);
    const auto leaving = headers.find(fields.leaving);
    if (rate) {
        notice.rateLimit = parseRate(*rate);
    }
    notice.isLeaving = leaving == "1";
    notice.isReadable = rate.has_value() == notice.rateLimit.has_value() && leaving.has_value() == notice.isLeaving
        && !occursTwice(headers, fields.rateLimit) && !occursTwice(headers, fields.leaving);
    return notice.isReadable ? notice : ServerNotice{{}, false, false};
}

} // namespace Hibiscus
