#include "core/logratelimiter.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("LogRateLimiter: a flood is cut to a steady rate, and what was left out is counted")
{
    // Guards against a log that costs more the more goes wrong, and against lines that vanish without a trace.
    LogRateLimiter limiter;
    int written = 0;
    std::uint64_t leftOut = 0;
    constexpr int kLines = 10'000;
    for (int i = 0; i < kLines; ++i) {
        if (const auto before = limiter.admit(TimePoint{1000.0 + i})) {
            ++written;
            leftOut += *before;
        }
    }
    CHECK(written >= 135);
    CHECK(written <= 145);
    const auto last = limiter.admit(TimePoint{1000.0 + kLines + 1000});
    REQUIRE(last.has_value());
    CHECK(written + leftOut + *last == kLines);
}
