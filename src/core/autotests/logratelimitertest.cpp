#include "core/logratelimiter.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("LogRateLimiter: a flood of lines is limited to a steady rate, and suppressed lines are counted")
{
    // Guards against a logging cost that grows with the number of failures, and against lines lost without a count.
    LogRateLimiter limiter;
    int written = 0;
    std::uint64_t suppressed = 0;
    constexpr int kLines = 10'000;
    for (int i = 0; i < kLines; ++i) {
        if (const auto before = limiter.admit(TimePoint{1000.0 + i})) {
            ++written;
            suppressed += *before;
        }
    }
    CHECK(written >= 135);
    CHECK(written <= 145);
    const auto last = limiter.admit(TimePoint{1000.0 + kLines + 1000});
    REQUIRE(last.has_value());
    CHECK(written + suppressed + *last == kLines);
}
