#include "core/ids.h"
#include "core/jsondocument.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace Hibiscus;

TEST_CASE("TextId: no id exists whose text can't be part of a key, a header field or JSON text")
{
    // Guards against a process that ends, far from where it was read, because of an id that another one has written.
    for (const char *invalid :
         {"i-\xff\xfe", "\xc0\xaf", "\xed\xa0\x80", "\xf5\x80\x80\x80", "\xe2\x82", "a\nb", "a\x7f"}) {
        CAPTURE(invalid);
        CHECK_FALSE(ServerName::parse(invalid).has_value());
        CHECK_THROWS_AS(ServerName(std::string(invalid)), InvalidIdText);
    }
    CHECK_FALSE(ServerName::parse("").has_value());
    CHECK_FALSE(ServerName::parse(std::string(kMaximumReceivedIdBytes + 1, 'a')).has_value());
    CHECK_THROWS_AS(ServerName(std::string(kMaximumIdBytes + 1, 'a')), InvalidIdText);
    for (const char *valid : {"i-7f3a91c2", "10.0.0.1:80", "a b/c?d", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80"}) {
        CAPTURE(valid);
        REQUIRE(ServerName::parse(valid).has_value());
        CHECK(ServerName::parse(valid)->value() == valid);
    }
}

TEST_CASE("TextId: whatever bytes are read, an id is JSON text or there is none")
{
    const bool holds = rc::check([](const std::string &text) {
        if (const auto id = ServiceName::parse(text)) {
            RC_ASSERT(nlohmann::json(id->value()).dump().size() >= text.size());
        }
    });
    CHECK(holds);
}

TEST_CASE("readJson: documents of others are read with a bound on their depth, and any document can be written")
{
    // Guards against a document nested so deep that writing it again overflows the stack.
    const std::string deep(200000, '[');
    CHECK_FALSE(readJson(deep + std::string(200000, ']')).has_value());
    const std::string allowed(kMaximumJsonDepth, '[');
    CHECK(readJson(allowed + std::string(kMaximumJsonDepth, ']')).has_value());
    CHECK(readJson(R"({"text":"[[[[\"[[{{"})").has_value());
    CHECK_FALSE(readJson("{\"a\":\"\xff\"}").has_value());
    CHECK_FALSE(readJson("{\"a\":1e999}").has_value());
    CHECK_FALSE(readJson("").has_value());
    CHECK(writeJson({{"a", "\xff"}}) == "{\"a\":\"\xef\xbf\xbd\"}");
}
