#include "config/rules.h"

#include "config/requestpath.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

Rules exampleRules()
{
    Rules rules;
    rules.classes = {{ClassName("low"), 0, true, {800}},
                     {ClassName("middle"), 1, false, {2000}},
                     {ClassName("high"), 2, false, {5000}}};
    rules.routes = {{ServiceName("desk"), "*", "/holds", ClassName("middle")},
                    {ServiceName("desk"), "POST", "/holds", ClassName("high")},
                    {ServiceName("desk"), "*", "/holds/list", ClassName("low")},
                    {ServiceName("shop"), "*", "/", ClassName("high")}};
    rules.defaultClass = ClassName("low");
    return rules;
}

} // namespace

TEST_CASE("classify: the longest prefix of whole segments takes precedence, then the exact method")
{
    // Guards against classifying a non-repeatable request as repeatable.
    struct Case {
        const char *service;
        const char *method;
        const char *path;
        const char *expected;
    };
    const Rules rules = exampleRules();
    for (const Case &c : {Case{"desk", "POST", "/holds", "high"}, Case{"desk", "GET", "/holds/7", "middle"},
                          Case{"desk", "POST", "/holds/list/2", "low"}, Case{"desk", "POST", "/holdsx", "low"},
                          Case{"desk", "POST", "/other", "low"}, Case{"shop", "GET", "/anything", "high"},
                          Case{"desk", "POST", "//%68olds/?x=/holds/list", "high"},
                          Case{"desk", "POST", "/holds/list/../7", "high"}, Case{"desk", "POST", "", "low"}}) {
        CAPTURE(c.path);
        CHECK(classify(rules, ServiceName(c.service), c.method, c.path).name.value() == c.expected);
    }
}

TEST_CASE("normalizePath: malformed escapes are kept, and \"..\" doesn't lead above the root")
{
    // Guards against reading past the end of a path from a caller.
    CHECK(normalizePath("/../../a") == "/a");
    CHECK(normalizePath("/a%2") == "/a%2");
    CHECK(normalizePath("/a%zz%") == "/a%zz%");
    CHECK(normalizePath("") == "/");
}
