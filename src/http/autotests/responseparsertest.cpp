#include "http/responseparser.h"

#include <doctest/doctest.h>

#include <string>

using namespace Hibiscus;

namespace
{

constexpr std::size_t kLimit = 64;

struct ParserCase {
    const char *name;
    std::string bytes;
    bool closed;
    ResponseParser::State expected;
};

} // namespace

TEST_CASE("ResponseParser: only a whole response is complete")
{
    // Guards against a truncated or malformed response that is forwarded as a complete one.
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const ParserCase cases[] = {
        {"whole", head + "Content-Length: 3\r\n\r\nabc", false, ResponseParser::State::Complete},
        {"cut in the body", head + "Content-Length: 5\r\n\r\nabc", true, ResponseParser::State::Malformed},
        {"cut in the headers", head + "Content-Le", true, ResponseParser::State::Malformed},
        {"chunked, whole", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false,
         ResponseParser::State::Complete},
        {"chunked, last chunk missing", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true,
         ResponseParser::State::Malformed},
        {"body over the limit", head + "Content-Length: 65\r\n\r\n" + std::string(65, 'x'), false,
         ResponseParser::State::Malformed},
        {"not HTTP", "hello\r\n\r\n", false, ResponseParser::State::Malformed},
        {"still open", head + "Content-Length: 5\r\n\r\nabc", false, ResponseParser::State::Incomplete},
        {"without a length, closed", head + "\r\nabc", true, ResponseParser::State::Complete},
    };
    for (const ParserCase &testCase : cases) {
        CAPTURE(testCase.name);
        ResponseParser parser(kLimit);
        ResponseParser::State state = ResponseParser::State::Incomplete;
        for (const char byte : testCase.bytes) {
            if (state != ResponseParser::State::Incomplete) {
                break;
            }
            state = parser.feed(std::string_view(&byte, 1));
        }
        if (testCase.closed && state == ResponseParser::State::Incomplete) {
            state = parser.finish();
        }
        CHECK(state == testCase.expected);
    }
}

TEST_CASE("ResponseParser: a connection with bytes after the response is not reused")
{
    // Guards against the rest of one response being read as the response to the next request.
    ResponseParser parser(kLimit);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    REQUIRE(parser.feed(response + "HTTP/1.1 200 OK\r\n") == ResponseParser::State::Complete);
    CHECK_FALSE(parser.keepAlive());
    CHECK(parser.extractResponse().body == "abc");
}
