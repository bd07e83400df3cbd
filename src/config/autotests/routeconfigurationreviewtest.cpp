#include "config/routeconfigurationreview.h"
#include "config/routeconfigurationdifference.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

Route route(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "shop.example";
    route.pathPrefix = prefix;
    route.targets = {{ServiceName("desk"), 1}};
    route.idempotent = true;
    route.timeout = Millis{2000};
    route.latencyTarget = Millis{500};
    route.attempts = 2;
    return route;
}

Team team(const std::string &name, const std::vector<std::string> &keys, double rate)
{
    Team team;
    team.name = TeamName(name);
    for (const std::string &key : keys) {
        team.keys.emplace_back(key);
    }
    team.allotment = {RequestRate{rate}, rate};
    return team;
}

RouteConfiguration sound()
{
    RouteConfiguration configuration;
    configuration.version = ConfigVersion(3);
    configuration.routes = {route("browse", "/browse/"), route("pay", "/pay/")};
    configuration.services = {{ServiceName("desk"), "/health", 100}};
    configuration.teams = TeamTable({team("red", {"red-key-1", "red-key-2"}, 20)});
    return configuration;
}

bool contains(const std::vector<std::string> &lines, const std::string &part)
{
    return std::any_of(lines.begin(), lines.end(),
                       [&part](const std::string &line) { return line.find(part) != std::string::npos; });
}

} // namespace

TEST_CASE("reviewConfiguration: a sound configuration has no findings")
{
    CHECK(reviewConfiguration(sound()).empty());
}

TEST_CASE("reviewConfiguration: each entry without effect and each contradiction is found at its entry")
{
    using Kind = ConfigurationFinding::Kind;
    RouteConfiguration configuration = sound();
    Kind kind = Kind::NeverMatches;
    std::string entry;
    SUBCASE("route hidden by another one of the same place, spelled differently")
    {
        configuration.routes.push_back(route("browse-again", "/browse/"));
        configuration.routes.back().host = "SHOP.example:80";
        entry = "route browse-again";
    }
    SUBCASE("path prefix without a slash at its end")
    {
        configuration.routes[0].pathPrefix = "/browse";
        entry = "route browse";
    }
    SUBCASE("target that gets nothing")
    {
        configuration.routes[0].targets.push_back({ServiceName("desk"), 0});
        entry = "route browse";
    }
    SUBCASE("service that no route reaches")
    {
        configuration.services.push_back({ServiceName("archive"), "/health", 10});
        entry = "service archive";
    }
    SUBCASE("team without a key")
    {
        configuration.teams = TeamTable({team("red", {}, 20)});
        entry = "team red";
    }
    SUBCASE("table of teams without a team")
    {
        configuration.teams = TeamTable(std::vector<Team>());
        entry = "teams";
    }
    SUBCASE("service that is not listed")
    {
        configuration.routes[1].targets = {{ServiceName("till"), 1}};
        kind = Kind::Contradiction;
        entry = "route pay";
    }
    SUBCASE("timeout below the latency target")
    {
        configuration.routes[0].timeout = Millis{400};
        kind = Kind::Contradiction;
        entry = "route browse";
    }
    SUBCASE("allotment without a burst")
    {
        Team red = configuration.teams.all()[0];
        red.allotment.burst = 0;
        configuration.teams = TeamTable({red});
        kind = Kind::Contradiction;
        entry = "team red";
    }
    SUBCASE("header timeout beyond the idle timeout")
    {
        configuration.limits.headerTimeout = Millis{20000};
        kind = Kind::Contradiction;
        entry = "limits";
    }
    const std::vector<ConfigurationFinding> findings = reviewConfiguration(configuration);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].kind == kind);
    CHECK(findings[0].entry == entry);
}

TEST_CASE("compareRouteConfigurations: says what callers lose, and never shows a key")
{
    const RouteConfiguration before = sound();
    RouteConfiguration after = before;
    CHECK(compareRouteConfigurations(before, after).changes.empty());
    CHECK(compareRouteConfigurations(before, after).losses.empty());

    after.routes.pop_back();
    after.routes[0].timeout = Millis{1000};
    after.teams = TeamTable({team("red", {"red-key-1"}, 10)});
    const RouteConfigurationDifference difference = compareRouteConfigurations(before, after);
    CHECK(contains(difference.changes, "- route pay"));
    CHECK(contains(difference.changes, "~ team red"));
    CHECK(contains(difference.losses, "shop.example/pay/ get 404"));
    CHECK(contains(difference.losses, "take longer than"));
    CHECK(contains(difference.losses, "key " + ApiKey("red-key-2").fingerprint() + " get 401"));
    CHECK(contains(difference.losses, "callers of red get 429"));
    CHECK(difference.losses.size() == 4);
    CHECK_FALSE(contains(difference.changes, "red-key"));
    CHECK_FALSE(contains(difference.losses, "red-key"));

    after.teams = TeamTable({team("red", {}, 10)});
    CHECK(contains(compareRouteConfigurations(before, after).losses, "all callers of red get 401"));
    CHECK(compareRouteConfigurations(after, before).losses.empty());
}

TEST_CASE("compareRouteConfigurations: a table without teams takes access away, no table gives it")
{
    // Guards against an operator who is told that nothing is lost by a version that refuses all callers.
    RouteConfiguration withoutTable = sound();
    withoutTable.teams = TeamTable();
    withoutTable.routes[0].isPublic = true;
    RouteConfiguration emptyTable = withoutTable;
    emptyTable.teams = TeamTable(std::vector<Team>());
    emptyTable.routes[0].isPublic = false;
    const RouteConfigurationDifference added = compareRouteConfigurations(withoutTable, emptyTable);
    CHECK(contains(added.changes, "keys"));
    CHECK(contains(added.losses, "callers without a key get 401"));
    CHECK(contains(added.losses, "shop.example/browse/ without a key get 401"));
    const RouteConfigurationDifference removed = compareRouteConfigurations(emptyTable, withoutTable);
    CHECK(contains(removed.changes, "keys"));
    CHECK(removed.losses.empty());
    CHECK(contains(compareRouteConfigurations(sound(), emptyTable).losses, "all callers of red get 401"));
}
