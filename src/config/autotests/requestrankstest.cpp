#include "config/requestranks.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

RouteConfiguration configurationOf(const std::vector<int> &routePriorities, const std::vector<int> &teamPriorities)
{
    RouteConfiguration configuration;
    for (const int priority : routePriorities) {
        configuration.routes.emplace_back().priority = priority;
    }
    std::vector<Team> teams;
    for (const int priority : teamPriorities) {
        teams.emplace_back().priority = priority;
    }
    configuration.teams = TeamTable(std::move(teams));
    return configuration;
}

} // namespace

TEST_CASE("RequestRanks: without teams, the rank follows from the priority of the route alone")
{
    // Guards against other ranks in deployments that have no teams.
    const RouteConfiguration configuration = configurationOf({2, 0, 1}, {});
    const RequestRanks ranks(configuration);
    CHECK(ranks.count() == 3);
    for (const Route &route : configuration.routes) {
        CHECK(ranks.rankOf(route, nullptr) == 2 - route.priority);
    }
    CHECK(RequestRanks({}).count() == 1);
}

TEST_CASE("RequestRanks: the priority of the team goes before that of the route")
{
    // Guards against an unimportant request of an important team that is shed before those of other teams, and against
    // a class for each number up to the largest priority.
    const RouteConfiguration configuration = configurationOf({0, 3}, {5, 0, 1'000'000, 5});
    const RequestRanks ranks(configuration);
    const Route &first = configuration.routes[0];
    const Route &last = configuration.routes[1];
    const Team &middle = configuration.teams.all()[0];
    const Team &top = configuration.teams.all()[1];
    const Team &bottom = configuration.teams.all()[2];
    CHECK(ranks.count() == 12);
    CHECK(ranks.rankOf(first, &top) == 11);
    CHECK(ranks.rankOf(last, &top) == 8);
    CHECK(ranks.rankOf(first, &middle) == 7);
    CHECK(ranks.rankOf(first, &configuration.teams.all()[3]) == 7);
    CHECK(ranks.rankOf(last, &middle) == 4);
    CHECK(ranks.rankOf(first, &bottom) == 3);
    CHECK(ranks.rankOf(last, &bottom) == 0);
    CHECK(ranks.rankOf(first, nullptr) == ranks.rankOf(first, &bottom));
}
