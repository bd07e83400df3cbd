#ifndef HIBISCUS_HTTP_BODYFRAMING_H
#define HIBISCUS_HTTP_BODYFRAMING_H

#include "http/httpmessage.h"
#include "http/responsefault.h"

#include <cstdint>

namespace Hibiscus
{

/** What marks the end of a body (RFC 9112, section 6.3). */
enum class BodyEnd {
    Length, ///< So many bytes; none if the body is empty.
    LastChunk,
    ConnectionEnd,
};

struct BodyFraming {
    BodyEnd end = BodyEnd::Length;
    std::uint64_t length = 0; ///< In bytes, for BodyEnd::Length.
};

/**
 * Framing of the body of a response with these header fields. Refuses two statements of it, a length that is no number,
 * and every transfer coding but "chunked", since requests name no other one as acceptable.
 */
ResponseResult<BodyFraming> framingOf(const HttpHeaders &headers, int minorVersion);

} // namespace Hibiscus

#endif
