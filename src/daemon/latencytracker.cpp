#include "daemon/latencytracker.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

/** Upper edge of the first bucket. The edge of each further one is half an octave (a factor of sqrt 2) higher. */
constexpr double kFirstEdgeMs = 0.05;
constexpr double kBucketsPerOctave = 2;

} // namespace

std::size_t LatencyTracker::bucketOf(Millis duration)
{
    if (duration.value <= kFirstEdgeMs) {
        return 0;
    }
    const double octaves = std::log2(duration.value / kFirstEdgeMs);
    return std::min(kBuckets - 1, static_cast<std::size_t>(std::ceil(octaves * kBucketsPerOctave)));
}

Millis LatencyTracker::upperEdge(std::size_t bucket)
{
    return {kFirstEdgeMs * std::exp2(static_cast<double>(bucket) / kBucketsPerOctave)};
}

void LatencyTracker::record(const ServiceName &service, Millis duration)
{
    Histogram &histogram = histograms_[service];
    if (histogram.total >= kMaximumSamples) {
        histogram.total = 0;
        for (std::uint32_t &count : histogram.counts) {
            count /= 2;
            histogram.total += count;
        }
    }
    ++histogram.counts.at(bucketOf(duration));
    ++histogram.total;
}

Millis LatencyTracker::quantile(const ServiceName &service, double share) const
{
    const auto found = histograms_.find(service);
    if (found == histograms_.end() || found->second.total < kMinimumSamples) {
        return {};
    }
    const double target = share * found->second.total;
    double cumulative = 0;
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
        cumulative += found->second.counts.at(bucket);
        if (cumulative >= target) {
            return upperEdge(bucket);
        }
    }
    return upperEdge(kBuckets - 1);
}

} // namespace Hibiscus
