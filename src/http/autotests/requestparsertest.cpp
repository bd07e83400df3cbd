#include "http/requestparser.h"

#include <doctest/doctest.h>

#include <random>

using namespace Hibiscus;

namespace
{

/** Requests up to the first malformed message, and the error status of that message. */
struct ParseResult {
    std::vector<HttpRequest> requests;
    int errorStatus = 0;
};

/** Feeds the bytes in pieces of @p step bytes. */
ParseResult parseAll(const std::string &bytes, std::size_t step, RequestLimits limits = {})
{
    RequestParser parser(limits);
    ParseResult parsed;
    std::string pending;
    for (std::size_t begin = 0; begin < bytes.size(); begin += step) {
        pending += bytes.substr(begin, step);
        while (!pending.empty()) {
            std::size_t used = 0;
            const RequestParser::State state = parser.feed(pending, used);
            pending.erase(0, used);
            if (state == RequestParser::State::Malformed) {
                parsed.errorStatus = parser.errorStatus();
                return parsed;
            }
            if (state == RequestParser::State::Incomplete) {
                break;
            }
            parsed.requests.push_back(parser.extractRequest());
        }
    }
    return parsed;
}

} // namespace

TEST_CASE("RequestParser: pipelined requests are separated wherever the bytes are split")
{
    // Guards against a request that contains bytes of the next or the previous one.
    const std::string bytes = "GET /a?x=1 HTTP/1.1\r\nHost: h.example\r\nX: 1\r\n\r\n"
                              "POST /b HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nhello"
                              "PUT /c HTTP/1.1\r\nHost: i.example\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                              "GET /d HTTP/1.1\r\nHost: h.example\r\n\r\n";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        CAPTURE(step);
        const ParseResult parsed = parseAll(bytes, step);
        REQUIRE(parsed.errorStatus == 0);
        REQUIRE(parsed.requests.size() == 4);
        CHECK(parsed.requests[0].target == "/a?x=1");
        CHECK(parsed.requests[0].headers.find("x") == "1");
        CHECK(parsed.requests[1].body == "hello");
        CHECK(parsed.requests[2].body == "abcde");
        CHECK(parsed.requests[2].host == "i.example");
        CHECK(parsed.requests[3].method == "GET");
        CHECK(parsed.requests[3].body.empty());
    }
}

TEST_CASE("RequestParser: requests of ambiguous length are refused")
{
    // Guards against request smuggling: a request of which two parsers see different ends.
    static const std::vector<std::string> kCases{
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1x\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        "GARBAGE\r\n\r\n",
    };
    for (const std::string &text : kCases) {
        CAPTURE(text);
        const ParseResult parsed = parseAll(text, text.size());
        CHECK(parsed.requests.empty());
        CHECK(parsed.errorStatus == 400);
    }
}

TEST_CASE("RequestParser: requests over the limits of header fields and body get distinct error statuses")
{
    // Guards against memory being used for a request that will be refused.
    const RequestLimits limits{200, 10};
    const std::string longField = "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n";
    CHECK(parseAll(longField, 64, limits).errorStatus == 431);
    CHECK(parseAll("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", 64, limits).errorStatus == 413);
    const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n";
    CHECK(parseAll(chunked, 64, limits).errorStatus == 413);
}

TEST_CASE("RequestParser: randomly corrupted input yields at most one additional request")
{
    // Guards against crashes and against additional requests that are parsed from corrupted bytes.
    const std::string bytes = "POST /b HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nhello"
                              "GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n";
    std::mt19937_64 random(20261204);
    constexpr int kRounds = 3000;
    for (int round = 0; round < kRounds; ++round) {
        std::string corrupted = bytes;
        const int changes = 1 + static_cast<int>(random() % 4);
        for (int i = 0; i < changes; ++i) {
            corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
        }
        const ParseResult parsed = parseAll(corrupted, 1 + random() % corrupted.size());
        CHECK(parsed.requests.size() <= 3);
    }
}

TEST_CASE("RequestParser: the separators of very many short fields count")
{
    // Guards against fields of a few bytes, which take many times as much memory once they are parsed.
    const RequestLimits limits{200, 10};
    std::string fields = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 66; ++i) {
        fields += "a:\r\n";
    }
    CHECK(parseAll(fields + "\r\n", 64, limits).errorStatus == 0);
    CHECK(parseAll(fields + "a:\r\na:\r\n\r\n", 64, limits).errorStatus == 431);
}

TEST_CASE("RequestParser: a trailer field is not a field of the next request")
{
    const std::string chunked =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Late: 1\r\n\r\n";
    const ParseResult parsed = parseAll(chunked + "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 64);
    REQUIRE(parsed.requests.size() == 2);
    CHECK_FALSE(parsed.requests[1].headers.find("X-Late").has_value());
}
