#ifndef HIBISCUS_BACKEND_STANDIN_SERVICETIME_H
#define HIBISCUS_BACKEND_STANDIN_SERVICETIME_H

#include "core/millis.h"

#include <cstdint>
#include <random>

namespace Hibiscus
{

enum class ServiceTimeShape {
    Fixed,
    Exponential,
    LogNormal,
};

/** Distribution of the time that a server works on a request itself, without its downstream calls. */
struct ServiceTimeSettings {
    ServiceTimeShape shape = ServiceTimeShape::LogNormal;
    Millis mean{20};
    double sigma = 0.5; ///< Standard deviation of the logarithm, for LogNormal.
};

/** Draws service times from a seeded sequence. */
class ServiceTime
{
public:
    ServiceTime(ServiceTimeSettings settings, std::uint64_t seed);

    /** Next time; a positive @p mean replaces the mean of the settings. */
    Millis draw(Millis mean = {});

private:
    ServiceTimeSettings settings_;
    std::mt19937_64 engine_;
};

} // namespace Hibiscus

#endif
