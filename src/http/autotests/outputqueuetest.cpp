#include "http/outputqueue.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

std::string text(const asio::const_buffer &buffer)
{
    return {static_cast<const char *>(buffer.data()), buffer.size()};
}

} // namespace

TEST_CASE("OutputQueue: bytes are sent once, in the order in which they were appended")
{
    // Guards against a response that is sent again or left out because another one is appended in between.
    OutputQueue queue;
    CHECK(queue.isEmpty());
    CHECK_FALSE(queue.beginSending());
    queue.tail().append("first");
    CHECK_FALSE(queue.isEmpty());
    REQUIRE(queue.beginSending());
    queue.consume(2);
    queue.tail().append("second");
    CHECK_FALSE(queue.beginSending());
    CHECK(text(queue.unsent()) == "rst");
    CHECK(queue.heldBytes() == 11);
    queue.consume(3);
    CHECK(text(queue.unsent()).empty());
    CHECK_FALSE(queue.isEmpty());
    REQUIRE(queue.beginSending());
    CHECK(text(queue.unsent()) == "second");
    queue.consume(6);
    CHECK(queue.isEmpty());
    CHECK(queue.heldBytes() == 0);
    queue.tail().append("third");
    REQUIRE(queue.beginSending());
    queue.clear();
    CHECK(queue.isEmpty());
    CHECK(text(queue.unsent()).empty());
}
