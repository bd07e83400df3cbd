#include "http/sendprogress.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr std::size_t kHeadBytes = 100;
constexpr std::size_t kMessageBytes = 1000;

/** State of the sending after @p bytes were handed over. */
bool mayHaveBegunAfter(RequestStart start, std::size_t bytes)
{
    SendProgress progress(kHeadBytes, kMessageBytes, start);
    REQUIRE(progress.beginWrite());
    progress.endWrite(bytes);
    return progress.mayHaveBegun();
}

} // namespace

TEST_CASE("SendProgress: a server may begin with the head, a daemon only with the whole message")
{
    // Guards against a request that counts as not run, and runs again, because the rest of its body was never written.
    CHECK_FALSE(mayHaveBegunAfter(RequestStart::AtHead, 0));
    CHECK_FALSE(mayHaveBegunAfter(RequestStart::AtHead, kHeadBytes - 1));
    CHECK(mayHaveBegunAfter(RequestStart::AtHead, kHeadBytes));
    CHECK(mayHaveBegunAfter(RequestStart::AtHead, kMessageBytes));
    CHECK_FALSE(mayHaveBegunAfter(RequestStart::AtEnd, kMessageBytes - 1));
    CHECK(mayHaveBegunAfter(RequestStart::AtEnd, kMessageBytes));
}

TEST_CASE("SendProgress: a request is either withdrawn or may begin, never both")
{
    // Guards against a caller that hears "not run" of a request that is being written on another thread.
    SendProgress withdrawn(kHeadBytes, kMessageBytes, RequestStart::AtHead);
    CHECK(withdrawn.withdraw());
    CHECK_FALSE(withdrawn.beginWrite());
    CHECK(withdrawn.withdraw());

    SendProgress beingWritten(kHeadBytes, kMessageBytes, RequestStart::AtHead);
    REQUIRE(beingWritten.beginWrite());
    CHECK_FALSE(beingWritten.withdraw());
    beingWritten.endWrite(kHeadBytes - 1);
    CHECK(beingWritten.withdraw());

    SendProgress begun(kHeadBytes, kMessageBytes, RequestStart::AtHead);
    REQUIRE(begun.beginWrite());
    begun.endWrite(kHeadBytes);
    CHECK_FALSE(begun.withdraw());
    CHECK(begun.beginWrite());
}
