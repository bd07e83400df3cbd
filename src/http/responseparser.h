#ifndef HIBISCUS_HTTP_RESPONSEPARSER_H
#define HIBISCUS_HTTP_RESPONSEPARSER_H

#include "core/millis.h"
#include "http/bodyframing.h"
#include "http/chunkdecoder.h"
#include "http/httpmessage.h"
#include "http/responsefault.h"
#include "http/responsehead.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus
{

/** Parses one HTTP response from the bytes of a connection. */
class ResponseParser
{
public:
    enum class State {
        Incomplete,
        Complete,
        Malformed, ///< fault() says why. The connection can't be used any more.
    };

    /** With @p toHead the response is one to HEAD, and has no body. */
    explicit ResponseParser(std::size_t maximumBodyBytes, bool toHead = false);

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
    ResponseResult<bool> readHead(std::string_view &bytes);
    ResponseResult<bool> readBody(std::string_view &bytes);
    ResponseResult<bool> readLength(std::string_view &bytes);
    ResponseResult<bool> readRest(std::string_view &bytes);
    State fail(ResponseFault fault);

    std::size_t maximumBodyBytes_;
    ResponseHeadReader headReader_;
    BodyFraming framing_;
    ChunkDecoder chunks_;
    HttpResponse response_;
    std::string trailingBytes_;
    bool inHead_ = true;
    bool keepAlive_ = false;
    std::optional<ResponseFault> fault_;
};

} // namespace Hibiscus

#endif
