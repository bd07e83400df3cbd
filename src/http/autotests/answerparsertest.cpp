#include "http/answerparser.h"

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
    AnswerParser::State expected;
};

} // namespace

TEST_CASE("AnswerParser: only a whole answer is complete")
{
    // Guards against a truncated or malformed answer that is passed on as a whole one.
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const ParserCase cases[] = {
        {"whole", head + "Content-Length: 3\r\n\r\nabc", false, AnswerParser::State::Complete},
        {"cut in the body", head + "Content-Length: 5\r\n\r\nabc", true, AnswerParser::State::Malformed},
        {"cut in the headers", head + "Content-Le", true, AnswerParser::State::Malformed},
        {"chunked, whole", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false,
         AnswerParser::State::Complete},
        {"chunked, last chunk missing", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true,
         AnswerParser::State::Malformed},
        {"body over the limit", head + "Content-Length: 65\r\n\r\n" + std::string(65, 'x'), false,
         AnswerParser::State::Malformed},
        {"not HTTP", "hello\r\n\r\n", false, AnswerParser::State::Malformed},
        {"still open", head + "Content-Length: 5\r\n\r\nabc", false, AnswerParser::State::Incomplete},
        {"without a length, closed", head + "\r\nabc", true, AnswerParser::State::Complete},
    };
    for (const ParserCase &testCase : cases) {
        CAPTURE(testCase.name);
        AnswerParser parser(kLimit);
        AnswerParser::State state = AnswerParser::State::Incomplete;
        for (const char byte : testCase.bytes) {
            if (state != AnswerParser::State::Incomplete) {
                break;
            }
            state = parser.feed(std::string_view(&byte, 1));
        }
        if (testCase.closed && state == AnswerParser::State::Incomplete) {
            state = parser.finish();
        }
        CHECK(state == testCase.expected);
    }
}

TEST_CASE("AnswerParser: a connection with bytes after the answer is not reused")
{
    // Guards against the rest of one answer being read as the answer of the next request.
    AnswerParser parser(kLimit);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    REQUIRE(parser.feed(answer + "HTTP/1.1 200 OK\r\n") == AnswerParser::State::Complete);
    CHECK_FALSE(parser.keepAlive());
    CHECK(parser.takeResponse().body == "abc");
}
