#ifndef HIBISCUS_HTTP_CHUNKDECODER_H
#define HIBISCUS_HTTP_CHUNKDECODER_H

#include "http/linereader.h"
#include "http/responsefault.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Hibiscus
{

/**
 * Decodes a body that comes in chunks (RFC 9112, section 7.1). Chunk extensions and trailer fields are checked and
 * dropped: a trailer field must not be taken for one of the head.
 */
class ChunkDecoder
{
public:
    explicit ChunkDecoder(std::size_t maximumBodyBytes);

    /** Takes bytes from the front of @p bytes and appends the data in them to @p body; true once the body is complete.
     */
    ResponseResult<bool> feed(std::string_view &bytes, std::string &body);

private:
    enum class Part {
        Size,
        Data,
        DataEnd, ///< The end of line after the data.
        Trailer,
    };

    ResponseResult<bool> readLine(std::string_view &bytes, const std::string &body);
    ResponseResult<bool> readSize(const std::string &body);
    ResponseResult<bool> readTrailer();
    void readData(std::string_view &bytes, std::string &body);
    void begin(Part part);
    ResponseFault lineFault() const;

    std::size_t maximumBodyBytes_;
    LineReader lines_;
    Part part_ = Part::Size;
    std::uint64_t dataBytesLeft_ = 0; ///< Of the current chunk.
};

} // namespace Hibiscus

#endif
