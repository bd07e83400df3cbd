#ifndef HIBISCUS_BACKEND_STANDIN_SERVICETIME_H
#define HIBISCUS_BACKEND_STANDIN_SERVICETIME_H

#include "core/millis.h"

#include <cstdint>
#include <random>

namespace Hibiscus
{

/** Family of the distribution that service times are drawn from. */
enum class ServiceTimeDistribution {
    Fixed,
    Exponential,
    LogNormal,
};

/** Distribution of the service time: the time a server spends on a request itself, without its downstream calls. */
struct ServiceTimeSettings {
    ServiceTimeDistribution distribution = ServiceTimeDistribution::LogNormal;
    Millis mean{20};
    double sigma = 0.5; ///< Standard deviation of the logarithm, for LogNormal.
};

/** Draws service times from a seeded random sequence. */
class ServiceTime
{
public:
    ServiceTime(ServiceTimeSettings settings, std::uint64_t seed);

    /** Draws the next service time; a positive @p mean replaces the mean of the settings. */
    Millis draw(Millis mean = {});

private:
    ServiceTimeSettings settings_;
    std::mt19937_64 engine_;
};

} // namespace Hibiscus

#endif
