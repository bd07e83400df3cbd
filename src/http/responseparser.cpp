#include "http/responseparser.h"

#include <charconv>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr int kStatusOk = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

/** Whether responses of this status have no body, whatever their heads state (RFC 9112, section 6.3). */
bool hasNoBody(int status)
{
    return status < kStatusOk || status == kStatusNoContent || status == kStatusNotModified;
}

ResponseParser *self(http_parser *parser)
{
    return static_cast<ResponseParser *>(parser->data);
}

} // namespace

ResponseParser::ResponseParser(std::size_t maximumBodyBytes)
    : maximumBodyBytes_(maximumBodyBytes)
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    http_parser_settings_init(&callbacks_);
    callbacks_.on_header_field = &ResponseParser::onHeaderField;
    callbacks_.on_header_value = &ResponseParser::onHeaderValue;
    callbacks_.on_headers_complete = &ResponseParser::onHeadersComplete;
    callbacks_.on_body = &ResponseParser::onBody;
    callbacks_.on_message_complete = &ResponseParser::onMessageComplete;
}

ResponseParser::State ResponseParser::feed(std::string_view bytes)
{
    if (inHead_) {
        std::string_view unread = bytes;
        const ResponseResult<bool> isHeadComplete = headReader_.feed(unread);
        if (!isHeadComplete) {
            return fail(isHeadComplete.error());
        }
        inHead_ = !*isHeadComplete;
    }
    const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
    if (complete_ && parsed < bytes.size()) {
        // Bytes after the response belong to no request of this client, so the connection must not be reused.
        keepAlive_ = false;
        trailingBytes_ = bytes.substr(parsed);
    } else if (parsed != bytes.size() || parser_.upgrade) {
        return fail(ResponseFault::Unparsable);
    }
    return state();
}

ResponseParser::State ResponseParser::finish()
{
    http_parser_execute(&parser_, &callbacks_, nullptr, 0);
    return complete_ ? state() : fail(ResponseFault::Unparsable);
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

ResponseParser::State ResponseParser::state() const
{
    if (fault_) {
        return State::Malformed;
    }
    return complete_ ? State::Complete : State::Incomplete;
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

void ResponseParser::flushHeader()
{
    if (inValue_) {
        response_.headers.add(std::exchange(fieldName_, {}), std::exchange(fieldValue_, {}));
        inValue_ = false;
    }
}

int ResponseParser::onHeaderField(http_parser *parser, const char *data, std::size_t size)
{
    self(parser)->flushHeader();
    self(parser)->fieldName_.append(data, size);
    return 0;
}

int ResponseParser::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    self(parser)->inValue_ = true;
    self(parser)->fieldValue_.append(data, size);
    return 0;
}

int ResponseParser::onHeadersComplete(http_parser *parser)
{
    self(parser)->flushHeader();
    self(parser)->response_.status = static_cast<int>(parser->status_code);
    // http_parser takes 1 for "the message has no body".
    return hasNoBody(self(parser)->response_.status) ? 1 : 0;
}

int ResponseParser::onBody(http_parser *parser, const char *data, std::size_t size)
{
    std::string &body = self(parser)->response_.body;
    if (body.size() + size > self(parser)->maximumBodyBytes_) {
        return 1;
    }
    body.append(data, size);
    return 0;
}

int ResponseParser::onMessageComplete(http_parser *parser)
{
    self(parser)->complete_ = true;
    self(parser)->keepAlive_ = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace Hibiscus
