#include "daemon/servernotice.h"

#include <string>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr ServerNoticeFields kFields{"X-Limit", "X-Leaving"};

ServerNotice noticeWith(const HttpHeaders::Field &field)
{
    HttpHeaders headers;
    headers.add(field.first, field.second);
    return parseServerNotice(headers, kFields);
}

} // namespace

TEST_CASE("ServerNotice: a limit is a decimal number, and leaving is 1")
{
    // Guards against a limit that is misread, and a server that leaves unnoticed.
    CHECK(parseServerNotice({}, kFields).isReadable);
    CHECK(!parseServerNotice({}, kFields).rateLimit);
    CHECK(noticeWith({"x-limit", "41.9"}).rateLimit == RequestRate{41.9});
    CHECK(noticeWith({"X-Limit", "0"}).rateLimit == RequestRate{0});
    CHECK(noticeWith({"X-Leaving", "1"}).isLeaving);
    CHECK(!parseServerNotice({}, kFields).isLeaving);
}

TEST_CASE("ServerNotice: a value that can't be read is no limit and does not end one")
{
    // Guards against a broken value that stops a service, or that lifts the limit of a server in need.
    const std::string huge(400, '9');
    for (const std::string &value :
         {std::string(), std::string("-1"), std::string("-0"), std::string("nan"), std::string("inf"),
          std::string("1e3"), std::string("1,5"), std::string("5, 5"), std::string("5 "), std::string("five"), huge}) {
        const ServerNotice notice = noticeWith({"X-Limit", value});
        CAPTURE(value);
        CHECK(!notice.isReadable);
        CHECK(!notice.rateLimit);
    }
    CHECK(!noticeWith({"X-Leaving", "yes"}).isReadable);
    CHECK(!noticeWith({"X-Leaving", ""}).isReadable);
    HttpHeaders repeated;
    repeated.add("X-Limit", "5");
    repeated.add("X-Limit", "7");
    CHECK(!parseServerNotice(repeated, kFields).isReadable);
}
