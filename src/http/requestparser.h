#ifndef HIBISCUS_HTTP_REQUESTPARSER_H
#define HIBISCUS_HTTP_REQUESTPARSER_H

#include "http/httpmessage.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <http_parser.h>

namespace Hibiscus
{

/** Maximum sizes of one request. */
struct RequestLimits {
    std::size_t headerBytes = 64U << 10U;
    std::size_t bodyBytes = 16U << 20U;
};

/** Parses the consecutive HTTP requests of one connection. */
class RequestParser
{
public:
    enum class State {
        Incomplete, ///< All bytes were consumed; more are needed.
        Complete, ///< extractRequest() returns the request; the bytes after it have to be fed again.
        Malformed, ///< The connection can't be used any more; errorStatus() returns the status to send.
    };

    explicit RequestParser(RequestLimits limits);
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /** Consumes bytes up to the end of one request, and sets @p used to their number. */
    State feed(std::string_view bytes, std::size_t &used);

    /** Whether a request has begun and is not complete. */
    bool isInMessage() const;
    /** Whether the header fields of the current request are complete. */
    bool isInBody() const;
    /** Whether the client waits for "100 Continue" before it sends the body. */
    bool expectsContinue() const;
    /** Whether the connection stays open after the last completed request. */
    bool keepAlive() const;
    /** HTTP status of the response to a malformed request. */
    int errorStatus() const;
    HttpRequest extractRequest();
    /** Memory that the current request holds, in bytes. */
    std::size_t heldBytes() const;
    /** Gives up the current request. The connection can't be used any more. */
    void discard();

    void setLimits(RequestLimits limits);

private:
    static int onMessageBegin(http_parser *parser);
    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);

    bool countHeaderBytes(std::size_t size);
    bool flushHeader();
    void reserveBody(std::size_t size);
    int fail(int status);

    http_parser parser_{};
    http_parser_settings callbacks_{};
    RequestLimits limits_;
    HttpRequest request_;
    std::string body_; ///< Of request_, until it is complete.
    std::string fieldName_;
    std::string fieldValue_;
    std::size_t headerBytes_ = 0;
    std::size_t declaredBodyBytes_ = 0; ///< 0 if the body comes in chunks.
    bool inValue_ = false;
    bool inMessage_ = false;
    bool inBody_ = false;
    bool complete_ = false;
    bool keepAlive_ = false;
    int errorStatus_ = 0;
};

} // namespace Hibiscus

#endif
