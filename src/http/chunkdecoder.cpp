#include "http/chunkdecoder.h"

#include "http/headsyntax.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace Hibiscus
{

namespace
{

/** Longest line with the size of a chunk, in bytes. */
constexpr std::size_t kMaximumLineBytes = 4096;
constexpr std::size_t kMaximumTrailerBytes = 80U << 10U;
constexpr int kHexadecimal = 16;

/** Whether @p text, which follows the size of a chunk, is nothing or a list of chunk extensions. */
bool isExtensionList(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    return text.empty() || (begin != std::string_view::npos && text[begin] == ';' && isFieldText(text));
}

/** Size of the chunk that @p line begins; empty if there is none. */
std::optional<std::uint64_t> parseChunkSize(std::string_view line)
{
    std::uint64_t size = 0;
    const char *end = line.data() + line.size();
    const auto parsed = std::from_chars(line.data(), end, size, kHexadecimal);
    if (parsed.ec != std::errc() || !isExtensionList({parsed.ptr, end})) {
        return std::nullopt;
    }
    return size;
}

} // namespace

ChunkDecoder::ChunkDecoder(std::size_t maximumBodyBytes)
    : maximumBodyBytes_(maximumBodyBytes)
    , lines_(kMaximumLineBytes)
{
}

ResponseResult<bool> ChunkDecoder::feed(std::string_view &bytes, std::string &body)
{
    while (!bytes.empty()) {
        if (part_ == Part::Data) {
            readData(bytes, body);
            continue;
        }
        const ResponseResult<bool> isComplete = readLine(bytes, body);
        if (!isComplete || *isComplete) {
            return isComplete;
        }
    }
    return false;
}

ResponseResult<bool> ChunkDecoder::readLine(std::string_view &bytes, const std::string &body)
{
    const LineReader::State state = lines_.feed(bytes);
    // A single line feed ends no line here, since other implementations read it as a part of the line.
    const bool isMalformed =
        state == LineReader::State::TooLong || (state == LineReader::State::Line && !lines_.endedWithCrLf());
    if (isMalformed) {
        return tl::unexpected(lineFault());
    }
    if (state == LineReader::State::Incomplete) {
        return false;
    }
    if (part_ == Part::Size) {
        return readSize(body);
    }
    if (part_ == Part::Trailer) {
        return readTrailer();
    }
    if (!lines_.line().empty()) {
        return tl::unexpected(ResponseFault::Chunk);
    }
    begin(Part::Size);
    return false;
}

ResponseResult<bool> ChunkDecoder::readSize(const std::string &body)
{
    const std::optional<std::uint64_t> size = parseChunkSize(lines_.line());
    if (!size) {
        return tl::unexpected(ResponseFault::Chunk);
    }
    if (*size > maximumBodyBytes_ - body.size()) {
        return tl::unexpected(ResponseFault::BodyTooLong);
    }
    dataBytesLeft_ = *size;
    begin(*size == 0 ? Part::Trailer : Part::Data);
    return false;
}

void ChunkDecoder::readData(std::string_view &bytes, std::string &body)
{
    const std::size_t size = std::min<std::uint64_t>(dataBytesLeft_, bytes.size());
    body.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    dataBytesLeft_ -= size;
    if (dataBytesLeft_ == 0) {
        begin(Part::DataEnd);
    }
}

ResponseResult<bool> ChunkDecoder::readTrailer()
{
    const std::string_view line = lines_.line();
    if (!line.empty() && !parseFieldLine(line)) {
        return tl::unexpected(ResponseFault::Trailer);
    }
    return line.empty();
}

void ChunkDecoder::begin(Part part)
{
    part_ = part;
    lines_ = LineReader(part == Part::Trailer ? kMaximumTrailerBytes : kMaximumLineBytes);
}

ResponseFault ChunkDecoder::lineFault() const
{
    return part_ == Part::Trailer ? ResponseFault::Trailer : ResponseFault::Chunk;
}

} // namespace Hibiscus
