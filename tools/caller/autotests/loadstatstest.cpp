#include "caller/loadstats.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Hibiscus;

// Guards against goodput that counts an answer which a resend got long after its user had given up.
TEST_CASE("LoadStats leaves late completions out of the goodput")
{
    LoadStats stats("browsing", Millis{2000});
    stats.ended(Verdict::Completed, TimePoint{100}, TimePoint{2100});
    stats.ended(Verdict::Completed, TimePoint{100}, TimePoint{2101});

    const nlohmann::json report = stats.report();
    CHECK(report.at("completed") == 2);
    CHECK(report.at("late") == 1);
    CHECK(report.at("goodput").back() == 1);
    CHECK(stats.completedByWindow().size() == 22);
}
