#include "http/linereader.h"

namespace Hibiscus
{

LineReader::LineReader(std::size_t maximumBytes)
    : bytesLeft_(maximumBytes)
{
}

LineReader::State LineReader::feed(std::string_view &bytes)
{
    if (line_.ends_with('\n')) {
        line_.clear();
    }
    const std::size_t end = bytes.find('\n');
    const std::size_t size = end == std::string_view::npos ? bytes.size() : end + 1;
    if (size > bytesLeft_) {
        return State::TooLong;
    }
    bytesLeft_ -= size;
    line_.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    return end == std::string_view::npos ? State::Incomplete : State::Line;
}

std::string_view LineReader::line() const
{
    std::string_view text = line_;
    if (text.ends_with('\n')) {
        text.remove_suffix(1);
        if (text.ends_with('\r')) {
            text.remove_suffix(1);
        }
    }
    return text;
}

bool LineReader::endedWithCrLf() const
{
    return line_.ends_with("\r\n");
}

} // namespace Hibiscus
