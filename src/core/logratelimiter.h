#ifndef HIBISCUS_CORE_LOGRATELIMITER_H
#define HIBISCUS_CORE_LOGRATELIMITER_H

#include "core/millis.h"

#include <cstdint>
#include <optional>

namespace Hibiscus
{

/** Token bucket that bounds the lines of one log event: a burst, and then a steady rate. */
class LogRateLimiter
{
public:
    static constexpr double kBurst = 40; ///< Lines.
    static constexpr double kLinesPerSecond = 10;

    /** Lines suppressed since the last one that was written, if a line may be written now; empty if it may not. */
    std::optional<std::uint64_t> admit(TimePoint now);

private:
    double tokens_ = kBurst;
    TimePoint lastRefill_;
    std::uint64_t suppressed_ = 0;
};

} // namespace Hibiscus

#endif
