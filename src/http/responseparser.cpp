#include "http/responseparser.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Hibiscus
{

ResponseParser::ResponseParser(std::size_t maximumBodyBytes, bool toHead)
    : maximumBodyBytes_(maximumBodyBytes)
    , headReader_(toHead)
    , chunks_(maximumBodyBytes)
{
}

ResponseParser::State ResponseParser::feed(std::string_view bytes)
{
    const ResponseResult<bool> isHeadComplete = inHead_ ? readHead(bytes) : true;
    if (!isHeadComplete) {
        return fail(isHeadComplete.error());
    }
    if (!*isHeadComplete) {
        return State::Incomplete;
    }
    const ResponseResult<bool> isComplete = readBody(bytes);
    if (!isComplete) {
        return fail(isComplete.error());
    }
    if (!*isComplete) {
        return State::Incomplete;
    }
    // Bytes after the response belong to no request of this client, so the connection must not be reused.
    keepAlive_ = keepAlive_ && bytes.empty();
    trailingBytes_ = bytes;
    return State::Complete;
}

ResponseParser::State ResponseParser::finish()
{
    const bool endsResponse = !inHead_ && framing_.end == BodyEnd::ConnectionEnd;
    return endsResponse ? State::Complete : fail(ResponseFault::Truncated);
}

ResponseResult<bool> ResponseParser::readHead(std::string_view &bytes)
{
    const ResponseResult<bool> isComplete = headReader_.feed(bytes);
    if (isComplete && *isComplete) {
        inHead_ = false;
        ResponseHead head = headReader_.extractHead();
        response_.status = head.status;
        response_.headers = std::move(head.headers);
        framing_ = head.framing;
        keepAlive_ = head.keepAlive;
    }
    return isComplete;
}

ResponseResult<bool> ResponseParser::readBody(std::string_view &bytes)
{
    switch (framing_.end) {
    case BodyEnd::Length:
        return readLength(bytes);
    case BodyEnd::LastChunk:
        return chunks_.feed(bytes, response_.body);
    case BodyEnd::ConnectionEnd:
        break;
    }
    return readRest(bytes);
}

ResponseResult<bool> ResponseParser::readLength(std::string_view &bytes)
{
    if (framing_.length > maximumBodyBytes_) {
        return tl::unexpected(ResponseFault::BodyTooLong);
    }
    const std::size_t size = std::min<std::uint64_t>(framing_.length - response_.body.size(), bytes.size());
    response_.body.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    return response_.body.size() == framing_.length;
}

ResponseResult<bool> ResponseParser::readRest(std::string_view &bytes)
{
    if (bytes.size() > maximumBodyBytes_ - response_.body.size()) {
        return tl::unexpected(ResponseFault::BodyTooLong);
    }
    response_.body.append(bytes);
    return false;
}

ResponseParser::State ResponseParser::fail(ResponseFault fault)
{
    fault_ = fault;
    return State::Malformed;
}

std::optional<ResponseFault> ResponseParser::fault() const
{
    return fault_;
}

bool ResponseParser::keepAlive() const
{
    return keepAlive_;
}

std::size_t ResponseParser::bodyBytes() const
{
    return response_.body.size();
}

std::string ResponseParser::extractTrailingBytes()
{
    return std::exchange(trailingBytes_, {});
}

std::optional<Millis> ResponseParser::idleTimeout() const
{
    constexpr std::string_view kTimeout = "timeout=";
    constexpr double kMillisPerSecond = 1000;
    const std::string_view field = response_.headers.find("Keep-Alive").value_or("");
    const std::size_t begin = field.find(kTimeout);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const char *first = field.data() + begin + kTimeout.size();
    if (std::from_chars(first, field.data() + field.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return Millis{seconds * kMillisPerSecond};
}

HttpResponse ResponseParser::extractResponse()
{
    return std::move(response_);
}

} // namespace Hibiscus
