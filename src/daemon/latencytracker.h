#ifndef HIBISCUS_DAEMON_LATENCYTRACKER_H
#define HIBISCUS_DAEMON_LATENCYTRACKER_H

#include "core/ids.h"
#include "core/millis.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace Hibiscus
{

/** Recent durations of calls by service, route or class, from histograms in which old calls lose weight. */
class LatencyTracker
{
public:
    void record(const ServiceName &service, Millis duration);

    /** Quantile @p share (0 to 1) of the recent calls, rounded up to the upper edge of its bucket; 0 if there were
     * fewer than kMinimumSamples. */
    Millis quantile(const ServiceName &service, double share) const;

private:
    static constexpr std::size_t kBuckets = 48;
    static constexpr std::uint32_t kMinimumSamples = 20;
    /** When this many calls are recorded, all counts are halved. */
    static constexpr std::uint32_t kMaximumSamples = 4096;

    struct Histogram {
        std::array<std::uint32_t, kBuckets> counts{};
        std::uint32_t total = 0;
    };

    static std::size_t bucketOf(Millis duration);
    static Millis upperEdge(std::size_t bucket);

    std::unordered_map<ServiceName, Histogram> histograms_;
};

} // namespace Hibiscus

#endif
