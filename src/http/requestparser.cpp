#include "http/requestparser.h"

#include "http/headsyntax.h"

#include <algorithm>
#include <climits>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr int kStatusBadRequest = 400;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusFieldsTooLarge = 431;
/** Fewest bytes of a field in the message besides its name and its value: a colon and the end of the line. */
constexpr std::size_t kFieldSeparatorBytes = 2;
/** Memory of a parsed field besides its text, with the growth of the list. */
constexpr std::size_t kFieldBytes = sizeof(HttpHeaders::Field) * 3 / 2;
/** A body of known size gets memory for so much of it at its first byte. From this size on, each body gets all its
 * memory at once, so that it isn't copied while it grows. */
constexpr std::size_t kLargeBodyBytes = 1U << 20U;

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
        && body_.empty();
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
    request_.body = std::exchange(body_, {});
    return std::exchange(request_, {});
}

std::size_t RequestParser::heldBytes() const
{
    if (!inMessage_) {
        return 0;
    }
    return headerBytes_ + request_.headers.fields().size() * kFieldBytes + body_.size();
}

void RequestParser::discard()
{
    request_ = {};
    std::string().swap(body_);
    std::string().swap(fieldName_);
    std::string().swap(fieldValue_);
    inMessage_ = false;
    inBody_ = false;
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

/** Ends a field; false if the fields exceed their limit. */
bool RequestParser::flushHeader()
{
    if (!inValue_) {
        return true;
    }
    if (sameHeaderName(fieldName_, "host")) {
        request_.host = fieldValue_;
    }
    request_.headers.add(std::exchange(fieldName_, {}), std::exchange(fieldValue_, {}));
    inValue_ = false;
    return countHeaderBytes(kFieldSeparatorBytes);
}

/** Gives the body memory for @p size more bytes. Memory that nothing was written to isn't used. */
void RequestParser::reserveBody(std::size_t size)
{
    const bool isLarge = body_.size() + size > kLargeBodyBytes;
    const std::size_t unknown = isLarge ? limits_.bodyBytes : 0;
    const std::size_t known = isLarge ? declaredBodyBytes_ : std::min(declaredBodyBytes_, kLargeBodyBytes);
    const std::size_t wanted = declaredBodyBytes_ > 0 ? known : unknown;
    if (body_.capacity() < wanted) {
        body_.reserve(wanted);
    }
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
    that->body_.clear();
    // A trailer field of the message before is not a field of this one.
    that->fieldName_.clear();
    that->fieldValue_.clear();
    that->inValue_ = false;
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
    if (!self(parser)->flushHeader()) {
        return self(parser)->fail(kStatusFieldsTooLarge);
    }
    self(parser)->fieldName_.append(data, size);
    return self(parser)->countHeaderBytes(size) ? 0 : self(parser)->fail(kStatusFieldsTooLarge);
}

int RequestParser::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    if (!isToken(self(parser)->fieldName_)) {
        // http_parser accepts spaces; other implementations read another field name.
        return self(parser)->fail(kStatusBadRequest);
    }
    self(parser)->inValue_ = true;
    self(parser)->fieldValue_.append(data, size);
    return self(parser)->countHeaderBytes(size) ? 0 : self(parser)->fail(kStatusFieldsTooLarge);
}

int RequestParser::onHeadersComplete(http_parser *parser)
{
    RequestParser *that = self(parser);
    if (!that->flushHeader()) {
        return that->fail(kStatusFieldsTooLarge);
    }
    that->inBody_ = true;
    that->declaredBodyBytes_ = parser->content_length == ULLONG_MAX ? 0 : parser->content_length;
    that->request_.method = http_method_str(static_cast<http_method>(parser->method));
    const bool isTooLarge = parser->content_length != ULLONG_MAX && parser->content_length > that->limits_.bodyBytes;
    return isTooLarge ? that->fail(kStatusTooLarge) : 0;
}

int RequestParser::onBody(http_parser *parser, const char *data, std::size_t size)
{
    RequestParser *that = self(parser);
    if (that->body_.size() + size > that->limits_.bodyBytes) {
        return that->fail(kStatusTooLarge);
    }
    that->reserveBody(size);
    that->body_.append(data, size);
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
