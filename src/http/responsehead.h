#ifndef HIBISCUS_HTTP_RESPONSEHEAD_H
#define HIBISCUS_HTTP_RESPONSEHEAD_H

#include "http/bodyframing.h"
#include "http/linereader.h"
#include "http/responsefault.h"

#include <optional>
#include <string_view>

namespace Hibiscus
{

/** First line of a response. */
struct StatusLine {
    int minorVersion = 0; ///< Of HTTP/1.
    int status = 0;
};

/** Parses a status line; empty if @p line is none or has an invalid status. The reason phrase may be missing, and then
 * also the space before it. */
std::optional<StatusLine> parseStatusLine(std::string_view line);

/** What comes before the body of a response. */
struct ResponseHead {
    int status = 0;
    HttpHeaders headers;
    BodyFraming framing;
    bool keepAlive = false; ///< The connection stays open after the response.
};

/** Reads the status line and the header fields of one response. */
class ResponseHeadReader
{
public:
    /** With @p toHead the response is one to HEAD, and has no body. */
    explicit ResponseHeadReader(bool toHead);

    /** Takes bytes from the front of @p bytes; true once the head is complete. */
    ResponseResult<bool> feed(std::string_view &bytes);
    ResponseHead extractHead();

private:
    ResponseResult<bool> readLine(std::string_view line);
    ResponseResult<bool> readField(std::string_view line);
    ResponseResult<bool> complete();

    /** Longest head, in bytes. */
    static constexpr std::size_t kMaximumBytes = 80U << 10U;

    bool toHead_;
    LineReader lines_{kMaximumBytes};
    std::optional<StatusLine> statusLine_;
    ResponseHead head_;
};

} // namespace Hibiscus

#endif
