#include "daemon/teamcounters.h"

#include <algorithm>
#include <sstream>

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("TeamCounters: the number of labels is bounded, and a name can't break a line")
{
    // Guards against metrics that grow with each team that a configuration has ever held.
    TeamCounters counters;
    std::ostringstream none;
    counters.write(none);
    CHECK(none.str().empty());
    counters.add(TeamName("a\"\\b"), "completed");
    for (std::size_t i = 0; i < TeamCounters::kMaximumTeams + 10; ++i) {
        counters.add(TeamName("t" + std::to_string(i)), "completed");
    }
    counters.add(TeamName("t0"), "over-allotment");
    std::ostringstream out;
    counters.write(out);
    const std::string text = out.str();
    CHECK(static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) == TeamCounters::kMaximumTeams + 3);
    const char *escaped = R"(hibiscus_team_calls_total{team="a\"\\b",result="completed"} 1)";
    CHECK(text.find(escaped) != std::string::npos);
    CHECK(text.find(R"(hibiscus_team_calls_total{team="_other",result="completed"} 11)") != std::string::npos);
    CHECK(text.find(R"(hibiscus_team_calls_total{team="t0",result="over-allotment"} 1)") != std::string::npos);
}
