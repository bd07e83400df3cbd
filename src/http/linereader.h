#ifndef HIBISCUS_HTTP_LINEREADER_H
#define HIBISCUS_HTTP_LINEREADER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace Hibiscus
{

/** Collects the lines of a message from the pieces in which its bytes arrive. */
class LineReader
{
public:
    enum class State {
        Incomplete, ///< All bytes were taken; the line goes on.
        Line, ///< line() is the next line.
        TooLong, ///< The lines exceed their limit.
    };

    /** @p maximumBytes limits all lines together. */
    explicit LineReader(std::size_t maximumBytes);

    /** Takes bytes from the front of @p bytes up to the end of the next line. */
    State feed(std::string_view &bytes);

    /** The line, or as much of it as has arrived. The line feed and a carriage return before it are not part of it. */
    std::string_view line() const;
    /** Whether the last line ended with a carriage return and a line feed. */
    bool endedWithCrLf() const;

private:
    std::string line_; ///< With its end.
    std::size_t bytesLeft_;
};

} // namespace Hibiscus

#endif
