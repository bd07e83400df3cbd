#ifndef HIBISCUS_HTTP_AUTOTESTS_RESPONSEFORMS_H
#define HIBISCUS_HTTP_AUTOTESTS_RESPONSEFORMS_H

#include <string>

namespace Hibiscus
{

struct BrokenResponse {
    std::string name; ///< Also the id of the request.
    std::string reason; ///< In the log.
    std::string bytes;
};

inline const std::string kOk = "HTTP/1.1 200 OK\r\n";
inline const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

inline const BrokenResponse kBrokenResponses[] = {
    {"not HTTP", "status-line", "part of something else\r\n\r\n"},
    {"status 000", "status-line", "HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\npart"},
    {"status 999", "status-line", "HTTP/1.1 999 High\r\nContent-Length: 4\r\n\r\npart"},
    {"blank in a field name", "field-line", kOk + "Trace Id: 1\r\nContent-Length: 4\r\n\r\npart"},
    {"blank before the colon", "field-line", kOk + "Content-Length : 4\r\n\r\npart, and more"},
    {"control byte in a field name", "field-line", kOk + "Trace\x01Id: 1\r\nContent-Length: 4\r\n\r\npart"},
    {"folded field", "field-line", kOk + "Trace: 1\r\n 2\r\nContent-Length: 4\r\n\r\npart"},
    {"another coding", "coding", kOk + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"},
    {"two lengths", "length", kOk + "Content-Length: 4\r\nContent-Length: 2\r\n\r\npart"},
    {"blank in the size of a chunk", "chunk", kChunked + "4 \r\npart\r\n0\r\n\r\n"},
    {"chunk without its end", "chunk", kChunked + "4\r\npartXX0\r\n\r\n"},
    {"blank in the name of a trailer field", "trailer", kChunked + "4\r\npart\r\n0\r\nTrace Id: 1\r\n\r\n"},
    {"cut short of its length", "truncated", kOk + "Content-Length: 9\r\n\r\npart"},
    {"cut within a chunk", "truncated", kChunked + "9\r\npart"},
    {"broken after an interim response", "status-line",
     "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 \r\nContent-Length: 4\r\n\r\npart"},
    {"broken interim response", "field-line",
     "HTTP/1.1 103 Early Hints\r\nA B: 1\r\n\r\n" + kOk + "Content-Length: 4\r\n\r\npart"},
};

/** Sound responses of a server with the body "whole". */
inline const std::string kSoundResponses[] = {
    kOk + "\r\nwhole",
    "HTTP/1.0 200 OK\r\n\r\nwhole",
    "HTTP/1.0 200\r\nContent-Length: 5\r\n\r\nwhole",
    kOk + "Content-Length: 5\r\n\r\nwhole, and bytes that belong to no request",
    kChunked + "2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nTrace: 1\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + kOk + "Content-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole",
};

} // namespace Hibiscus

#endif
