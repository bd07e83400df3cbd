#include "caller/loadstats.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Hibiscus;

TEST_CASE("LoadStats: requests that complete after their deadline are not part of the goodput")
{
    // Guards against goodput that includes a response which a resend got after the deadline of the user action.
    LoadStats stats("browsing", Millis{2000});
    stats.recordEnd(CallerOutcome::Completed, TimePoint{100}, TimePoint{2100});
    stats.recordEnd(CallerOutcome::Completed, TimePoint{100}, TimePoint{2101});

    const nlohmann::json report = stats.report();
    CHECK(report.at("completed") == 2);
    CHECK(report.at("late") == 1);
    CHECK(report.at("goodput").back() == 1);
    CHECK(stats.completedByWindow().size() == 22);
}
