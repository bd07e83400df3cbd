#ifndef HIBISCUS_HTTP_RESPONSEFAULT_H
#define HIBISCUS_HTTP_RESPONSEFAULT_H

#include <string_view>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Why the bytes that a server sent are no well-formed response (RFC 9112). */
enum class ResponseFault {
    StatusLine, ///< The first line is no status line of HTTP/1.x, or its status is not in 100 to 599.
    FieldLine, ///< A line of the head is no header field.
    HeadTooLong,
    Upgrade, ///< A change of the protocol, which no request asks for.
    Coding, ///< A transfer coding other than "chunked", or one in addition to a length.
    Length, ///< A length that is no number, or more than one.
    Chunk, ///< The size or the end of a chunk is malformed.
    Trailer, ///< A line after the last chunk is no trailer field.
    BodyTooLong, ///< Longer than a response may be, or than all unfinished responses together.
    Truncated, ///< The connection ended before the response.
    Reset, ///< The connection was reset before the end of the response.
    TooManyResponses, ///< More interim or late responses than a client reads.
};

/** Name of @p fault in the log. */
std::string_view responseFaultName(ResponseFault fault);

template<class T>
using ResponseResult = tl::expected<T, ResponseFault>;

} // namespace Hibiscus

#endif
