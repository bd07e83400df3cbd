#include "teams/fairorder.h"

#include "admission/level.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

/** The high bits of @p hash as a fraction in [0, 1). */
double fractionOf(std::uint64_t hash)
{
    constexpr int kMantissaBits = 53;
    constexpr double kScale = 1.0 / (std::uint64_t{1} << kMantissaBits);
    return static_cast<double>(hash >> (64 - kMantissaBits)) * kScale;
}

} // namespace

int fairBucket(std::uint64_t hash, double usedShare)
{
    const double share = std::clamp(usedShare, 0.0, 1.0);
    return kBucketsPerClass - 1 - static_cast<int>(kBucketsPerClass * share * fractionOf(hash));
}

} // namespace Hibiscus
