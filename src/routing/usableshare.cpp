#include "routing/usableshare.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

constexpr double kMinimum = 1.0 / 256;
/** Doublings after which any share is 1. */
constexpr double kMaximumDoublings = 8;

} // namespace

void UsableShare::report(std::optional<int> limit, double failingShare, TimePoint now)
{
    isKnown_ = true;
    if (limit) {
        limit_ = limit;
        goodShare_ = 1 - failingShare;
        reportedAt_ = now;
    }
}

bool UsableShare::isKnown() const
{
    return isKnown_;
}

std::optional<int> UsableShare::limit() const
{
    return limit_;
}

double UsableShare::value(int slots, int inFlight, TimePoint now) const
{
    if (!isKnown_) {
        return inFlight == 0 ? 1 : kWhileProbed;
    }
    if (!limit_ || slots <= 0) {
        return 1;
    }
    const double doublings = std::min((now - reportedAt_).value / kDoubling.value, kMaximumDoublings);
    const double reported = std::max(*limit_ * goodShare_ / slots, kMinimum);
    return std::min(reported * std::exp2(doublings), 1.0);
}

} // namespace Hibiscus
