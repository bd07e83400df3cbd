#include "backend_standin/servicetime.h"

#include <cmath>

namespace Hibiscus
{

ServiceTime::ServiceTime(ServiceTimeSettings settings, std::uint64_t seed)
    : settings_(settings)
    , engine_(seed)
{
}

Millis ServiceTime::draw(Millis mean)
{
    const double target = mean.value > 0 ? mean.value : settings_.mean.value;
    if (target <= 0) {
        return {0};
    }
    switch (settings_.distribution) {
    case ServiceTimeDistribution::Fixed:
        break;
    case ServiceTimeDistribution::Exponential:
        return {std::exponential_distribution<double>(1 / target)(engine_)};
    case ServiceTimeDistribution::LogNormal:
        // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        const double mu = std::log(target) - settings_.sigma * settings_.sigma / 2;
        return {std::lognormal_distribution<double>(mu, settings_.sigma)(engine_)};
    }
    return {target};
}

} // namespace Hibiscus
