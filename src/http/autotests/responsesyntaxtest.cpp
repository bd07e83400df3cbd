#include "http/responseparser.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Hibiscus;

namespace
{

constexpr std::size_t kMaximumBodyBytes = 1024;

/** What a parser makes of the bytes of one connection, which then ends. */
struct Reading {
    ResponseParser::State state = ResponseParser::State::Incomplete;
    std::optional<ResponseFault> fault;
    HttpResponse response;
    bool keepAlive = false;
};

/** Reads @p bytes in two pieces, of which the first has @p firstBytes. */
Reading readInPieces(const std::string &bytes, std::size_t firstBytes)
{
    ResponseParser parser(kMaximumBodyBytes);
    ResponseParser::State state = parser.feed(bytes.substr(0, firstBytes));
    if (state == ResponseParser::State::Incomplete && firstBytes < bytes.size()) {
        state = parser.feed(bytes.substr(firstBytes));
    }
    if (state == ResponseParser::State::Incomplete) {
        state = parser.finish();
    }
    return {state, parser.fault(), parser.extractResponse(), parser.keepAlive()};
}

/** Checks that @p bytes are refused because of @p fault, wherever they are split. */
void checkRefused(const std::string &bytes, ResponseFault fault)
{
    CAPTURE(bytes);
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
        CAPTURE(split);
        const Reading reading = readInPieces(bytes, split);
        CHECK(reading.state == ResponseParser::State::Malformed);
        CHECK(reading.fault == fault);
    }
}

/** Checks that @p bytes are a response with this status and body, wherever they are split. */
void checkAccepted(const std::string &bytes, int status, const std::string &body)
{
    CAPTURE(bytes);
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
        CAPTURE(split);
        const Reading reading = readInPieces(bytes, split);
        CHECK(reading.state == ResponseParser::State::Complete);
        CHECK(reading.response.status == status);
        CHECK(reading.response.body == body);
    }
}

} // namespace

TEST_CASE("ResponseParser: a status line of another form, or with a number that is no status, is refused")
{
    // Guards against a broken response that is forwarded as one of the server's: 000 was sent on as "HTTP/1.1 0".
    const std::string lines[] = {
        "HTTP/1.1 000 ",
        "HTTP/1.1 0 Zero",
        "HTTP/1.1 7 Seven",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 099 Low",
        "HTTP/1.1 600 High",
        "HTTP/1.1 999 High",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 2 00 OK",
        "HTTP/1.1 ",
        "HTTP/1.1",
        "HTTP/1. 200 OK",
        "HTTP/1.10 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/3 200 OK",
        "http/1.1 200 OK",
        "ICY 200 OK",
        " HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 200 O\rK",
        std::string("HTTP/1.1 200 O\0K", 16),
        "HTTP/1.1 200 O\x7fK",
        "HTTP/1.1 200 OK\r",
    };
    for (const std::string &line : lines) {
        checkRefused(line + "\r\nContent-Length: 2\r\n\r\nab", ResponseFault::StatusLine);
    }
}

TEST_CASE("ResponseParser: the line of another protocol is refused before it ends")
{
    ResponseParser parser(kMaximumBodyBytes);
    CHECK(parser.feed("SSH") == ResponseParser::State::Malformed);
    CHECK(parser.fault() == ResponseFault::StatusLine);
}

TEST_CASE("ResponseParser: every status from 200 to 599, with any reason phrase or none, is accepted")
{
    for (const std::string line : {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK",
                                   "HTTP/1.2 200 OK", "HTTP/1.1 200 Tout \xc3\xa0 fait\t!"}) {
        checkAccepted(line + "\r\nContent-Length: 2\r\n\r\nab", 200, "ab");
    }
    checkAccepted("HTTP/1.1 299 \r\nContent-Length: 2\r\n\r\nab", 299, "ab");
    checkAccepted("HTTP/1.1 599 \r\nContent-Length: 2\r\n\r\nab", 599, "ab");
    checkAccepted("HTTP/1.1 200 OK\nContent-Length: 2\n\nab", 200, "ab");
}

TEST_CASE("ResponseParser: a line of the head that is no header field is refused")
{
    // Guards against a line that is forwarded to clients that read another field, or a body of another length.
    const std::string lines[] = {
        "X Y: 1",
        "X : 1",
        "X\t: 1",
        "Content-Length : 1",
        "Content Length: 1",
        "Transfer-Encoding : chunked",
        "X\x01Y: 1",
        std::string("X\0Y: 1", 6),
        "X\x7f: 1",
        "X\xc3\xa4: 1",
        "X\rY: 1",
        "X(Y): 1",
        ": 1",
        "no colon",
        " folded: 1",
        " folded",
        "\tfolded",
        "X: a\rb",
        std::string("X: a\0b", 6),
        "X: a\x01",
        "X: a\x7f",
        "X: a\r",
    };
    for (const std::string &line : lines) {
        checkRefused("HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\nContent-Length: 2\r\n\r\nab",
                     ResponseFault::FieldLine);
        checkRefused("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nab", ResponseFault::FieldLine);
    }
}

TEST_CASE("ResponseParser: header fields of any well-formed name and value are accepted")
{
    struct FieldCase {
        std::string line;
        std::string name;
        std::string value;
    };
    const FieldCase cases[] = {
        {"X-Y:1", "X-Y", "1"},
        {"!#$%&'*+-.^_`|~09az:\t a, \"b\" \tc", "!#$%&'*+-.^_`|~09az", "a, \"b\" \tc"},
        {"X:", "X", ""},
        {"X: ", "X", ""},
        {"X: \xc3\xa4\xff", "X", "\xc3\xa4\xff"},
        {"X: a:b", "X", "a:b"},
    };
    for (const FieldCase &field : cases) {
        const std::string bytes = "HTTP/1.1 200 OK\r\n" + field.line + "\r\nContent-Length: 2\r\n\r\nab";
        checkAccepted(bytes, 200, "ab");
        const HttpResponse response = readInPieces(bytes, 0).response;
        CHECK(response.headers.find(field.name) == field.value);
    }
}

TEST_CASE("ResponseParser: a transfer coding other than chunked, or one beside a length, is refused")
{
    // Guards against a body that reaches clients in a coding whose name the daemon has removed.
    const std::string lines[] = {
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: chunked;x=y",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunke",
        "Transfer-Encoding: \"chunked\"",
        "Transfer-Encoding:",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 12",
        "Content-Length: 12\r\nTransfer-Encoding: chunked",
    };
    for (const std::string &line : lines) {
        checkRefused("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n2\r\nab\r\n0\r\n\r\n", ResponseFault::Coding);
    }
    checkRefused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", ResponseFault::Coding);
    checkAccepted("HTTP/1.1 200 OK\r\ntransfer-encoding:\tChunked \r\n\r\n2\r\nab\r\n0\r\n\r\n", 200, "ab");
}

TEST_CASE("ResponseParser: a length that is no number, or more than one, is refused")
{
    const std::string lines[] = {
        "Content-Length:",
        "Content-Length: ",
        "Content-Length: +2",
        "Content-Length: -2",
        "Content-Length: 0x2",
        "Content-Length: 2 2",
        "Content-Length: 2, 2",
        "Content-Length: 2,",
        "Content-Length: two",
        "Content-Length: 2.0",
        "Content-Length: 18446744073709551618",
        "Content-Length: 2\r\nContent-Length: 2",
        "Content-Length: 2\r\nContent-Length: 1",
    };
    for (const std::string &line : lines) {
        checkRefused("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nab", ResponseFault::Length);
    }
    checkAccepted("HTTP/1.1 200 OK\r\nCONTENT-LENGTH:\t002 \r\n\r\nab", 200, "ab");
}

TEST_CASE("ResponseParser: a response without a length ends with its connection")
{
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n"}) {
        checkAccepted(head + "\r\nwhole", 200, "whole");
        checkAccepted(head + "\r\n", 200, "");
        CHECK_FALSE(readInPieces(head + "\r\nwhole", 0).keepAlive);
    }
}

namespace
{

std::string chunkedResponse(const std::string &chunks)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
}

} // namespace

TEST_CASE("ResponseParser: malformed chunks are refused")
{
    // Guards against a body that is not the server's: bytes of the framing in it, or bytes of it left out.
    const std::string bodies[] = {
        "2 \r\nab\r\n0\r\n\r\n",
        " 2\r\nab\r\n0\r\n\r\n",
        "2 x\r\nab\r\n0\r\n\r\n",
        "2x\r\nab\r\n0\r\n\r\n",
        "0x2\r\nab\r\n0\r\n\r\n",
        "+2\r\nab\r\n0\r\n\r\n",
        "-2\r\nab\r\n0\r\n\r\n",
        "\r\nab\r\n0\r\n\r\n",
        ";a\r\nab\r\n0\r\n\r\n",
        "two\r\nab\r\n0\r\n\r\n",
        "2;a=\x01\r\nab\r\n0\r\n\r\n",
        "2\nab\r\n0\r\n\r\n",
        "2;a\nab\r\n0\r\n\r\n",
        "2\r\rab\r\n0\r\n\r\n",
        "2\rab\r\n0\r\n\r\n",
        "2\r\nabXY0\r\n\r\n",
        "2\r\nabc\r\n0\r\n\r\n",
        "2\r\nab\n0\r\n\r\n",
        "2\r\nab0\r\n\r\n",
        "2\r\nab\rX0\r\n\r\n",
        "2\r\nab\r\n0 \r\n\r\n",
        "2\r\nab\r\n\r\n0\r\n\r\n",
        "10000000000000002\r\nab\r\n0\r\n\r\n",
        "2;" + std::string(5000, 'a') + "\r\nab\r\n0\r\n\r\n",
    };
    for (const std::string &body : bodies) {
        checkRefused(chunkedResponse(body), ResponseFault::Chunk);
    }
}

TEST_CASE("ResponseParser: malformed lines after the last chunk are refused")
{
    const std::string bodies[] = {
        "2\r\nab\r\n0\r\nX Y: 1\r\n\r\n",
        "2\r\nab\r\n0\r\nX : 1\r\n\r\n",
        "2\r\nab\r\n0\r\nX: a\x01\r\n\r\n",
        "2\r\nab\r\n0\r\nno colon\r\n\r\n",
        "2\r\nab\r\n0\r\n: 1\r\n\r\n",
        "2\r\nab\r\n0\r\nX: 1\r\n folded\r\n\r\n",
        "2\r\nab\r\n0\r\nX: 1\n\r\n",
        "2\r\nab\r\n0\r\nX: 1\r\n\n",
        "2\r\nab\r\n0\r\n\n",
        "2\r\nab\r\n0\r\n\rX",
    };
    for (const std::string &body : bodies) {
        checkRefused(chunkedResponse(body + "\r\n\r\n"), ResponseFault::Trailer);
    }
}

TEST_CASE(
    "ResponseParser: chunks in any well-formed spelling are accepted, and their trailer fields are no header fields")
{
    checkAccepted(chunkedResponse("2\r\nab\r\n0\r\n\r\n"), 200, "ab");
    checkAccepted(chunkedResponse("1\r\na\r\n1\r\nb\r\n000\r\n\r\n"), 200, "ab");
    checkAccepted(chunkedResponse("0002;a;b=c ; d=\"e f\"\r\n\r\n\r\n0 ;last\r\n\r\n"), 200, "\r\n");
    checkAccepted(chunkedResponse("A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n"), 200, "01234567890123456789");
    checkAccepted(chunkedResponse("0\r\n\r\n"), 200, "");
    const std::string withTrailers = chunkedResponse("2\r\nab\r\n0\r\nX: 1\r\nContent-Length: 9\r\nY: 2\r\n\r\n");
    checkAccepted(withTrailers, 200, "ab");
    const Reading reading = readInPieces(withTrailers, 0);
    CHECK(reading.response.headers.fields().size() == 1);
    CHECK(reading.keepAlive);
}

TEST_CASE("ResponseParser: a response that is too long is refused before it has arrived")
{
    const std::string tooLong = std::to_string(kMaximumBodyBytes + 1);
    checkRefused("HTTP/1.1 200 OK\r\nContent-Length: " + tooLong + "\r\n\r\n", ResponseFault::BodyTooLong);
    checkRefused(chunkedResponse("401\r\n"), ResponseFault::BodyTooLong);
    checkRefused(chunkedResponse("2\r\nab\r\n3ff\r\n"), ResponseFault::BodyTooLong);
    checkRefused(chunkedResponse("2\r\nab\r\nffffffffffffffff\r\n"), ResponseFault::BodyTooLong);
    checkRefused("HTTP/1.1 200 OK\r\n\r\n" + std::string(kMaximumBodyBytes + 1, 'x'), ResponseFault::BodyTooLong);
}

TEST_CASE("ResponseParser: a connection stays open only if both ends say so")
{
    struct ConnectionCase {
        std::string head;
        bool keepAlive;
    };
    const ConnectionCase cases[] = {
        {"HTTP/1.1 200 OK\r\n", true},
        {"HTTP/1.1 200 OK\r\nConnection: close\r\n", false},
        {"HTTP/1.1 200 OK\r\nConnection: X-Y , Close\r\n", false},
        {"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nConnection: close\r\n", false},
        {"HTTP/1.1 200 OK\r\nConnection: closed\r\n", true},
        {"HTTP/1.0 200 OK\r\n", false},
        {"HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n", true},
        {"HTTP/1.0 200 OK\r\nConnection: keep-alive, close\r\n", false},
    };
    for (const ConnectionCase &connection : cases) {
        CAPTURE(connection.head);
        CHECK(readInPieces(connection.head + "Content-Length: 2\r\n\r\nab", 0).keepAlive == connection.keepAlive);
    }
}

TEST_CASE("ResponseParser: a switch to another protocol is refused")
{
    checkRefused("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
                 ResponseFault::Upgrade);
    checkRefused("HTTP/1.1 101 Switching Protocols\r\n\r\n", ResponseFault::Upgrade);
}

TEST_CASE("ResponseParser: an interim response, 204 and 304 have no body, whatever their heads state")
{
    // Guards against the next response being read as a body, and against waiting for bytes that never come.
    for (const std::string status : {"100", "103", "204", "304"}) {
        for (const std::string framing :
             {"", "Content-Length: 5\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"}) {
            const std::string bytes = "HTTP/1.1 " + status + " \r\n" + framing + "\r\n";
            checkAccepted(bytes, std::stoi(status), "");
            CHECK(readInPieces(bytes, 0).keepAlive);
            ResponseParser parser(kMaximumBodyBytes);
            CHECK(parser.feed(bytes + "HTTP/1.1 200 OK") == ResponseParser::State::Complete);
            CHECK(parser.extractTrailingBytes() == "HTTP/1.1 200 OK");
        }
    }
}

TEST_CASE("ResponseParser: a response to HEAD has no body, whatever its head states")
{
    for (const std::string framing : {"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
        ResponseParser parser(kMaximumBodyBytes, true);
        CHECK(parser.feed("HTTP/1.1 200 OK\r\n" + framing + "\r\n") == ResponseParser::State::Complete);
        CHECK(parser.keepAlive());
        CHECK(parser.extractResponse().body.empty());
    }
}
