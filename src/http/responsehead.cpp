#include "http/responsehead.h"

#include "http/headsyntax.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kMinorVersionDigits = 1;
constexpr std::size_t kStatusDigits = 3;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kStatusSwitchingProtocols = 101;

/** Removes a number of so many digits from the front of @p text; empty if there is none. */
std::optional<int> takeDigits(std::string_view &text, std::size_t digits)
{
    unsigned number = 0;
    const char *end = text.data() + std::min(digits, text.size());
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.size() < digits || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    text.remove_prefix(digits);
    return static_cast<int>(number);
}

bool takePrefix(std::string_view &text, std::string_view prefix)
{
    if (!text.starts_with(prefix)) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

/** Whether a status line may begin with @p text. */
bool mayBeginStatusLine(std::string_view text)
{
    return kVersionPrefix.starts_with(text.substr(0, kVersionPrefix.size()));
}

/** Whether the server keeps the connection open after its response (RFC 9112, section 9.3). */
bool staysOpen(const HttpHeaders &headers, int minorVersion)
{
    if (listsToken(headers, "Connection", "close")) {
        return false;
    }
    return minorVersion > 0 || listsToken(headers, "Connection", "keep-alive");
}

} // namespace

std::optional<StatusLine> parseStatusLine(std::string_view line)
{
    if (!takePrefix(line, kVersionPrefix)) {
        return std::nullopt;
    }
    const std::optional<int> minorVersion = takeDigits(line, kMinorVersionDigits);
    if (!minorVersion || !takePrefix(line, " ")) {
        return std::nullopt;
    }
    const std::optional<int> status = takeDigits(line, kStatusDigits);
    if (!status || *status < kFirstStatus || *status > kLastStatus) {
        return std::nullopt;
    }
    if (!line.empty() && (line.front() != ' ' || !isFieldText(line))) {
        return std::nullopt;
    }
    return StatusLine{*minorVersion, *status};
}

ResponseHeadReader::ResponseHeadReader(bool toHead)
    : toHead_(toHead)
{
}

ResponseResult<bool> ResponseHeadReader::feed(std::string_view &bytes)
{
    while (true) {
        switch (lines_.feed(bytes)) {
        case LineReader::State::Incomplete:
            // A server that speaks another protocol may never end its first line.
            if (!statusLine_ && !mayBeginStatusLine(lines_.line())) {
                return tl::unexpected(ResponseFault::StatusLine);
            }
            return false;
        case LineReader::State::TooLong:
            return tl::unexpected(ResponseFault::HeadTooLong);
        case LineReader::State::Line:
            break;
        }
        const ResponseResult<bool> isComplete = readLine(lines_.line());
        if (!isComplete || *isComplete) {
            return isComplete;
        }
    }
}

ResponseResult<bool> ResponseHeadReader::readLine(std::string_view line)
{
    if (!statusLine_) {
        statusLine_ = parseStatusLine(line);
        return statusLine_ ? ResponseResult<bool>(false) : tl::unexpected(ResponseFault::StatusLine);
    }
    return line.empty() ? complete() : readField(line);
}

ResponseResult<bool> ResponseHeadReader::readField(std::string_view line)
{
    std::optional<HttpHeaders::Field> field = parseFieldLine(line);
    if (!field) {
        return tl::unexpected(ResponseFault::FieldLine);
    }
    head_.headers.add(std::move(field->first), std::move(field->second));
    return false;
}

ResponseResult<bool> ResponseHeadReader::complete()
{
    head_.status = statusLine_->status;
    if (head_.status == kStatusSwitchingProtocols) {
        return tl::unexpected(ResponseFault::Upgrade);
    }
    const ResponseResult<BodyFraming> framing =
        toHead_ || isBodilessStatus(head_.status) ? BodyFraming{} : framingOf(head_.headers, statusLine_->minorVersion);
    if (!framing) {
        return tl::unexpected(framing.error());
    }
    head_.framing = *framing;
    head_.keepAlive = framing->end != BodyEnd::ConnectionEnd && staysOpen(head_.headers, statusLine_->minorVersion);
    return true;
}

ResponseHead ResponseHeadReader::extractHead()
{
    return std::move(head_);
}

} // namespace Hibiscus
