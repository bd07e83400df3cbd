#include "http/requestparser.h"

#include <climits>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr int kStatusBadRequest = 400;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusFieldsTooLarge = 431;

RequestParser *self(http_parser *parser)
{
    return static_cast<RequestParser *>(parser->data);
}

} // namespace

RequestParser::RequestParser(RequestLimits limits)
    : limits_(limits)
{
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    http_parser_settings_init(&callbacks_);
    callbacks_.on_message_begin = &RequestParser::onMessageBegin;
    callbacks_.on_url = &RequestParser::onUrl;
    callbacks_.on_header_field = &RequestParser::onHeaderField;
    callbacks_.on_header_value = &RequestParser::onHeaderValue;
    callbacks_.on_headers_complete = &RequestParser::onHeadersComplete;
    callbacks_.on_body = &RequestParser::onBody;
    callbacks_.on_message_complete = &RequestParser::onMessageComplete;
}

RequestParser::State RequestParser::feed(std::string_view bytes, std::size_t &used)
{
    used = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
    if (complete_) {
        // onMessageComplete() paused the parser, so that the next message isn't mixed with this one.
        http_parser_pause(&parser_, 0);
        if (parser_.upgrade != 0) {
            errorStatus_ = kStatusBadRequest;
            return State::Malformed;
        }
        return State::Complete;
    }
    if (used != bytes.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        errorStatus_ = errorStatus_ == 0 ? kStatusBadRequest : errorStatus_;
        return State::Malformed;
    }
    return State::Incomplete;
}

bool RequestParser::isInMessage() const
{
    return inMessage_;
}

bool RequestParser::isInBody() const
{
    return inBody_;
}

bool RequestParser::expectsContinue() const
{
    return inMessage_ && inBody_ && sameHeaderName(request_.headers.find("Expect").value_or(""), "100-continue")
        && request_.body.empty();
}

bool RequestParser::keepAlive() const
{
    return keepAlive_;
}

int RequestParser::errorStatus() const
{
    return errorStatus_;
}

HttpRequest RequestParser::extractRequest()
{
    complete_ = false;
    return std::exchange(request_, {});
}

void RequestParser::setLimits(RequestLimits limits)
{
    limits_ = limits;
}

bool RequestParser::countHeaderBytes(std::size_t size)
{
    headerBytes_ += size;
    return headerBytes_ <= limits_.headerBytes;
}

void RequestParser::flushHeader()
{
    if (!inValue_) {
        return;
    }
    if (sameHeaderName(fieldName_, "host")) {
        request_.host = fieldValue_;
    }
    request_.headers.add(std::exchange(fieldName_, {}), std::exchange(fieldValue_, {}));
    inValue_ = false;
}

int RequestParser::fail(int status)
{
    errorStatus_ = status;
    // Not 1, which http_parser interprets as "the message has no body" if on_headers_complete returns it.
    return -1;
}

int RequestParser::onMessageBegin(http_parser *parser)
{
    RequestParser *that = self(parser);
    that->request_ = {};
    that->headerBytes_ = 0;
    that->inMessage_ = true;
    that->inBody_ = false;
    return 0;
}

int RequestParser::onUrl(http_parser *parser, const char *data, std::size_t size)
{
    self(parser)->request_.target.append(data, size);
    return self(parser)->countHeaderBytes(size) ? 0 : self(parser)->fail(kStatusFieldsTooLarge);
}

int RequestParser::onHeaderField(http_parser *parser, const char *data, std::size_t size)
{
    self(parser)->flushHeader();
    self(parser)->fieldName_.append(data, size);
    return self(parser)->countHeaderBytes(size) ? 0 : self(parser)->fail(kStatusFieldsTooLarge);
}

int RequestParser::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    if (self(parser)->fieldName_.find_first_of(" \t") != std::string::npos) {
        // http_parser accepts a space before the colon; other implementations read another field name.
        return self(parser)->fail(kStatusBadRequest);
    }
    self(parser)->inValue_ = true;
    self(parser)->fieldValue_.append(data, size);
    return self(parser)->countHeaderBytes(size) ? 0 : self(parser)->fail(kStatusFieldsTooLarge);
}

int RequestParser::onHeadersComplete(http_parser *parser)
{
    RequestParser *that = self(parser);
    that->flushHeader();
    that->inBody_ = true;
    that->request_.method = http_method_str(static_cast<http_method>(parser->method));
    const bool isTooLarge = parser->content_length != ULLONG_MAX && parser->content_length > that->limits_.bodyBytes;
    return isTooLarge ? that->fail(kStatusTooLarge) : 0;
}

int RequestParser::onBody(http_parser *parser, const char *data, std::size_t size)
{
    RequestParser *that = self(parser);
    if (that->request_.body.size() + size > that->limits_.bodyBytes) {
        return that->fail(kStatusTooLarge);
    }
    that->request_.body.append(data, size);
    return 0;
}

int RequestParser::onMessageComplete(http_parser *parser)
{
    RequestParser *that = self(parser);
    that->inMessage_ = false;
    that->inBody_ = false;
    that->complete_ = true;
    that->keepAlive_ = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace Hibiscus
