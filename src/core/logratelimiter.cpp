#include "core/logratelimiter.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

std::optional<std::uint64_t> LogRateLimiter::admit(TimePoint now)
{
    constexpr double kMillisPerSecond = 1000;
    const double earned = (now - lastRefill_).value / kMillisPerSecond * kLinesPerSecond;
    tokens_ = std::min(kBurst, tokens_ + std::max(0.0, earned));
    lastRefill_ = now;
    if (tokens_ < 1) {
        ++suppressed_;
        return std::nullopt;
    }
    tokens_ -= 1;
    return std::exchange(suppressed_, 0);
}

} // namespace Hibiscus
