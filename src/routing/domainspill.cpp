#include "routing/domainspill.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

/** Busy share up to which a server has room for the random variation of its load. */
constexpr double kComfortableBusyShare = 0.7;
/** Difference of the busy shares from which on the other domain takes all that is to leave. */
constexpr double kFullBusyDifference = 0.2;

double shareForSlots(const ServerCondition &own, const ServerCondition &other)
{
    const double lacking = (own.busyShare - kComfortableBusyShare) / (1 - kComfortableBusyShare);
    const double gain = (own.busyShare - other.busyShare) / kFullBusyDifference;
    return std::clamp(lacking, 0.0, 1.0) * std::clamp(gain, 0.0, 1.0);
}

double shareForWarmth(const ServerCondition &own, const ServerCondition &other)
{
    return std::clamp(1 - own.warmth / other.warmth, 0.0, 1.0);
}

} // namespace

double otherDomainShare(const ServerCondition &own, const ServerCondition &other)
{
    return std::max(shareForSlots(own, other), shareForWarmth(own, other));
}

} // namespace Hibiscus
