#include "core/jsonpage.h"

#include "core/jsondocument.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace Hibiscus;

TEST_CASE("splitJsonPage: entries that can't be read leave the others and the envelope readable")
{
    // Guards against one bad entry in the store that keeps daemons from reading all of it.
    const std::string deep(200'000, '[');
    const std::string text = "{ \"more\" : false, \"items\" : [ {\"name\":\"a,]}\\\"\"} , {\"name\":\"\xFF\xFE\"},"
                             "{\"slots\":1e999}, "
        + deep + std::string(200'000, ']') + ", {\"name\":\"b\"}\n], \"storeRevision\":530}";
    const JsonPage page = splitJsonPage(text, "items");
    REQUIRE(page.entries.size() == 5);
    CHECK(readJson(page.entries[0])->at("name") == "a,]}\"");
    CHECK_FALSE(readJson(page.entries[1]));
    CHECK_FALSE(readJson(page.entries[2]));
    CHECK_FALSE(readJson(page.entries[3]));
    CHECK(readJson(page.entries[4])->at("name") == "b");
    REQUIRE(readJson(page.envelope));
    CHECK(readJson(page.envelope)->at("storeRevision") == 530);
    CHECK(readJson(page.envelope)->at("more") == false);
}

TEST_CASE("splitJsonPage: text without such an array stays as it is")
{
    for (const std::string text :
         {"", "{}", "[1]", "{\"items\":3}", "{\"items\":[1,2", "{\"a\":{\"items\":[1]}}", "\""}) {
        CAPTURE(text);
        CHECK(splitJsonPage(text, "items").envelope == text);
        CHECK(splitJsonPage(text, "items").entries.empty());
    }
}

TEST_CASE("splitJsonPage: any page of readable entries is split into just these")
{
    rc::check([](const std::vector<std::string> &names) {
        nlohmann::json page{{"a", "[,"}, {"items", nlohmann::json::array()}, {"z", {{"items", {1, 2}}}}};
        for (const std::string &name : names) {
            page["items"].push_back({{"name", name}});
        }
        const nlohmann::json sent = nlohmann::json::parse(writeJson(page));
        const std::string text = writeJson(sent);
        const JsonPage split = splitJsonPage(text, "items");
        RC_ASSERT(split.entries.size() == names.size());
        for (std::size_t i = 0; i < names.size(); ++i) {
            RC_ASSERT(readJson(split.entries[i]) == sent["items"][i]);
        }
        RC_ASSERT(readJson(split.envelope)->at("z") == sent["z"]);
    });
}

TEST_CASE("splitJsonPage: no text makes it fail")
{
    rc::check([](const std::string &text) {
        splitJsonPage("{\"items\":[" + text, "items");
        splitJsonPage(text, "items");
    });
}
