#ifndef HIBISCUS_HTTP_RESPONSEPARSER_H
#define HIBISCUS_HTTP_RESPONSEPARSER_H

#include "core/millis.h"
#include "http/httpmessage.h"
#include "http/responsefault.h"
#include "http/responsehead.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <http_parser.h>

namespace Hibiscus
{

/** Parses one HTTP response from the bytes of a connection. */
class ResponseParser
{
public:
    enum class State {
        Incomplete,
        Complete,
        Malformed,
    };

    explicit ResponseParser(std::size_t maximumBodyBytes);
    ResponseParser(const ResponseParser &) = delete;
    ResponseParser &operator=(const ResponseParser &) = delete;

    State feed(std::string_view bytes);
    /** Handles the end of the connection, which completes a response without a stated length. */
    State finish();
    bool keepAlive() const;
    /** Why the response is malformed; empty if it is not. */
    std::optional<ResponseFault> fault() const;

    /** Size of the body received so far. */
    std::size_t bodyBytes() const;
    /** Bytes of the last feed() that follow the complete response. */
    std::string extractTrailingBytes();
    /** Idle timeout that the server states in its Keep-Alive field; empty if it states none. */
    std::optional<Millis> idleTimeout() const;
    HttpResponse extractResponse();

private:
    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    void flushHeader();
    State fail(ResponseFault fault);
    State state() const;

    http_parser parser_{};
    http_parser_settings callbacks_{};
    std::size_t maximumBodyBytes_;
    ResponseHeadReader headReader_;
    HttpResponse response_;
    std::string fieldName_;
    std::string fieldValue_;
    std::string trailingBytes_;
    bool inValue_ = false;
    bool keepAlive_ = false;
    bool inHead_ = true;
    bool complete_ = false;
    std::optional<ResponseFault> fault_;
};

} // namespace Hibiscus

#endif
