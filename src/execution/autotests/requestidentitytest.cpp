#include "execution/requestidentity.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("RequestIdentity: each identity has exactly one text")
{
    // Guards against two spellings of one identity that are mistaken for two user actions.
    const RequestIdentity identity{HostAddress("[::1]:8080"), Incarnation(0xabcdef), 42};
    CHECK(formatRequestIdentity(identity) == "[::1]:8080/0000000000abcdef/42");
    CHECK(parseRequestIdentity(formatRequestIdentity(identity)) == identity);

    for (const std::string text :
         {"", "/", "//", "a:1", "a:1/0000000000abcdef", "a:1/0000000000abcdef/", "a:1/abcdef/42",
          "a:1/0000000000ABCDEF/42", "a:1/0000000000abcdef/042", "a:1/0000000000abcdef/-1", "a:1/0000000000abcdef/42 ",
          "a:1/0000000000abcdef/18446744073709551616", "/0000000000abcdef/42", "a:1/0000000000abcdef/4/2",
          "a:1/00000000000abcdef/42"}) {
        CAPTURE(text);
        CHECK_FALSE(parseRequestIdentity(text).has_value());
    }
}
