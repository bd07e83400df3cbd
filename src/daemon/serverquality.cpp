#include "daemon/serverquality.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

constexpr double kTimeWeight = 1.0 / 16;
constexpr double kResultWeight = 1.0 / 32;
/** Bounds the effect of a single request that was stuck. */
constexpr double kMaximumRatio = 32;
/** From this slowdown on the usual time is hardly updated, so that it remains that of better times. */
constexpr double kSlow = 1.5;
/** One in this many requests of a slow server still counts, so that a lasting change becomes the usual. */
constexpr int kSlowSampleDivisor = 16;

} // namespace

void ServerQuality::recordTime(const ServiceName &key, Millis ownTime)
{
    const Millis median = usual_.quantile(key, 0.5);
    if (median > Millis{0}) {
        const double ratio = std::min(ownTime.value / median.value, kMaximumRatio);
        slowdown_ += kTimeWeight * (ratio - slowdown_);
    }
    if (slowdown_ < kSlow || ++slowSamples_ % kSlowSampleDivisor == 0) {
        usual_.record(key, ownTime);
    }
}

void ServerQuality::recordResult(bool failed)
{
    failingShare_ += kResultWeight * ((failed ? 1 : 0) - failingShare_);
}

void ServerQuality::reset()
{
    slowdown_ = 1;
    failingShare_ = 0;
}

double ServerQuality::slowdown() const
{
    return slowdown_;
}

double ServerQuality::failingShare() const
{
    return failingShare_;
}

} // namespace Hibiscus
