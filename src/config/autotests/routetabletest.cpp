#include "config/routetable.h"

#include <doctest/doctest.h>

#include <map>

using namespace Hibiscus;

namespace
{

Route routeTo(const std::string &name, const std::string &host, const std::string &prefix, const std::string &service)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.targets = {{ServiceName(service), 1}};
    return route;
}

} // namespace

TEST_CASE("RouteTable: a request takes the route of its host with the longest matching prefix")
{
    // Guards against routing a request to the service of a shorter prefix, of another host, or of a prefix that ends
    // within a path segment.
    RouteConfiguration configuration;
    configuration.routes = {routeTo("all", "a.example", "/", "s1"), routeTo("slots", "a.example", "/slots/", "s2"),
                            routeTo("open", "a.example", "/slots/open/", "s3"),
                            routeTo("other", "b.example", "/slots/", "s4")};
    const RouteTable table(configuration);
    CHECK(table.find("a.example", "/slots/open/1")->name == "open");
    CHECK(table.find("a.example", "/slots/open")->name == "slots");
    CHECK(table.find("a.example", "/slotsopen/1")->name == "all");
    CHECK(table.find("A.Example:8080", "/slots/1?x=/slots/open/")->name == "slots");
    CHECK(table.find("b.example", "/slots/")->name == "other");
    CHECK(table.find("b.example", "/") == nullptr);
    CHECK(table.find("c.example", "/slots/") == nullptr);
    CHECK(table.find("a.example", "no-slash") == nullptr);
}

TEST_CASE("chooseTarget: requests are distributed over the targets in proportion to their weights")
{
    // Guards against a target that gets more or fewer requests than its weight allows.
    Route route = routeTo("split", "a.example", "/", "s1");
    route.targets = {{ServiceName("s1"), 90}, {ServiceName("s2"), 10}};
    std::map<std::string, int> counts;
    constexpr std::uint64_t kRequests = 10000;
    for (std::uint64_t i = 0; i < kRequests; ++i) {
        const std::uint64_t hash = i * 0x9E3779B97F4A7C15U >> 20U;
        ++counts[chooseTarget(route, hash).value()];
    }
    CHECK(counts["s2"] > 900);
    CHECK(counts["s2"] < 1100);
    CHECK(counts["s1"] + counts["s2"] == kRequests);
}
