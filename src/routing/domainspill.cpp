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
/** Ratio of the slowdowns from which on requests leave, and that at which all do which may. */
constexpr double kNoticeableSlowness = 1.5;
constexpr double kFullSlowness = 2.5;
/** The same for the difference of the failing shares. */
constexpr double kNoticeableFailing = 0.03;
constexpr double kFullFailing = 0.1;
/** Share that may leave a slow or failing server; the others show whether it has recovered. */
constexpr double kMaximumAvoidance = 15.0 / 16;
/** Free share of the slots that the other domain needs in order to take all that would leave. */
constexpr double kRoomForAll = 0.2;

/** 0 up to @p begin, 1 from @p end on, linear in between. */
double ramp(double value, double begin, double end)
{
    return std::clamp((value - begin) / (end - begin), 0.0, 1.0);
}

double shareForSlots(const ServerCondition &own, const ServerCondition &other)
{
    return ramp(own.busyShare, kComfortableBusyShare, 1)
        * ramp(own.busyShare - other.busyShare, 0, kFullBusyDifference);
}

double shareForQuality(const ServerCondition &own, const ServerCondition &other)
{
    const double slow = ramp(own.slowdown / other.slowdown, kNoticeableSlowness, kFullSlowness);
    const double failing = ramp(own.failingShare - other.failingShare, kNoticeableFailing, kFullFailing);
    return kMaximumAvoidance * std::max(slow, failing) * ramp(1 - other.busyShare, 0, kRoomForAll);
}

} // namespace

double otherDomainShare(const ServerCondition &own, const ServerCondition &other)
{
    return std::max(shareForSlots(own, other), shareForQuality(own, other));
}

} // namespace Hibiscus
